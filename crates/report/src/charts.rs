//! SVG plots.

use plotters::coord::Shift;
use plotters::prelude::*;

use crate::summary::{EventSpan, QuantilePoint, Summary};

/// Width of a plot, pixels; matches the page width without margins.
const WIDTH: u32 = 1120;
const CURVE_HEIGHT: u32 = 300;
const TIMELINE_HEIGHT: u32 = 220;
const LABEL_SIZE: u32 = 13;
/// Upper end of the quantile axis, in nines: 99.99%.
const MAXIMUM_NINES: f64 = 4.0;
/// Colour-blind safe palette (Okabe-Ito).
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(60, 60, 60),
];
const FAULT_COLOUR: RGBColor = RGBColor(220, 50, 47);
const BURST_COLOUR: RGBColor = RGBColor(240, 200, 60);

#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("a plot could not be drawn: {cause}")]
pub struct ChartError {
    cause: String,
}

type DrawResult = Result<(), ChartError>;
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

fn chart_error(cause: impl std::fmt::Display) -> ChartError {
    ChartError {
        cause: cause.to_string(),
    }
}

fn draw_svg(height: u32, draw: impl FnOnce(&Area) -> DrawResult) -> Result<String, ChartError> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, (WIDTH, height)).into_drawing_area();
        area.fill(&WHITE).map_err(chart_error)?;
        draw(&area)?;
        area.present().map_err(chart_error)?;
    }
    Ok(text)
}

pub struct Line<'a> {
    /// Legend entry.
    pub label: &'a str,
    pub points: Vec<(f64, f64)>,
}

/// Draws distributions as tail curves. The horizontal axis counts nines, so that p90, p99 and p99.9
/// are equidistant; the vertical axis is logarithmic, in milliseconds.
pub fn distributions(
    title: &str,
    curves: &[(&str, &[QuantilePoint])],
) -> Result<String, ChartError> {
    let lines: Vec<Line> = curves
        .iter()
        .map(|(label, curve)| Line {
            label,
            points: curve
                .iter()
                .filter(|point| point.quantile < 1.0)
                .map(|point| (nines(point.quantile), point.value.max(0.01)))
                .collect(),
        })
        .collect();
    let values = lines.iter().flat_map(|line| &line.points).map(|p| p.1);
    let (minimum, maximum) = log_range(values, 0.1);
    draw_svg(CURVE_HEIGHT, |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .margin_right(28)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(
                0.0..MAXIMUM_NINES,
                (minimum * 0.9..maximum * 1.1).log_scale(),
            )
            .map_err(chart_error)?;
        chart
            .configure_mesh()
            .label_style(("sans-serif", LABEL_SIZE))
            .x_labels(5)
            .y_labels(4)
            .x_label_formatter(&|nines| format_quantile(*nines))
            .y_label_formatter(&|value| format_milliseconds(*value))
            .y_desc("ms")
            .x_desc("share of requests at or below")
            .light_line_style(TRANSPARENT)
            .draw()
            .map_err(chart_error)?;
        for (index, line) in lines.iter().enumerate() {
            let colour = COLOURS[index % COLOURS.len()];
            chart
                .draw_series(LineSeries::new(
                    line.points.iter().copied(),
                    colour.stroke_width(2),
                ))
                .map_err(chart_error)?
                .label(line.label)
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2))
                });
        }
        chart
            .configure_series_labels()
            .label_font(("sans-serif", LABEL_SIZE))
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.85))
            .border_style(BLACK.mix(0.3))
            .draw()
            .map_err(chart_error)
    })
}

fn nines(quantile: f64) -> f64 {
    -(1.0 - quantile).max(1e-9).log10()
}

fn format_quantile(nines: f64) -> String {
    let percent = 100.0 * (1.0 - 10_f64.powf(-nines));
    let text = format!("{percent:.2}");
    format!("{}%", text.trim_end_matches('0').trim_end_matches('.'))
}

fn format_milliseconds(value: f64) -> String {
    if value >= 10.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.1}")
    }
}

fn log_range(values: impl Iterator<Item = f64>, minimum: f64) -> (f64, f64) {
    let (low, high) = values.fold((f64::INFINITY, minimum), |(low, high), value| {
        (low.min(value), high.max(value))
    });
    (low.min(high).max(minimum), high.max(minimum * 10.0))
}

/// Draws lines over the time of one run, with faults and online bursts marked.
pub fn timeline(run: &Summary, title: &str, lines: &[Line]) -> Result<String, ChartError> {
    let length = run.seconds as f64;
    let values = lines.iter().flat_map(|line| &line.points).map(|p| p.1);
    let maximum = values.fold(1.0, f64::max) * 1.08;
    draw_svg(TIMELINE_HEIGHT, |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 15))
            .margin(6)
            .margin_right(28)
            .x_label_area_size(28)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..length, 0.0..maximum)
            .map_err(chart_error)?;
        chart
            .configure_mesh()
            .label_style(("sans-serif", LABEL_SIZE))
            .x_label_formatter(&|second| format!("{second:.0} s"))
            .y_label_formatter(&|value| format_axis_value(*value))
            .y_labels(5)
            .light_line_style(TRANSPARENT)
            .draw()
            .map_err(chart_error)?;
        let spans = bursts(run)
            .into_iter()
            .map(|span| (span, BURST_COLOUR.mix(0.30)))
            .chain(fault_spans(run).map(|span| (span, FAULT_COLOUR.mix(0.13))));
        let rectangles = spans.map(|((from, to), style)| {
            let corners = [(from.max(0.0), 0.0), (to.min(length), maximum)];
            Rectangle::new(corners, style.filled())
        });
        chart.draw_series(rectangles).map_err(chart_error)?;
        for (index, line) in lines.iter().enumerate() {
            let colour = COLOURS[index % COLOURS.len()];
            chart
                .draw_series(LineSeries::new(
                    line.points.iter().copied(),
                    colour.stroke_width(2),
                ))
                .map_err(chart_error)?
                .label(line.label)
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2))
                });
        }
        chart
            .configure_series_labels()
            .label_font(("sans-serif", LABEL_SIZE))
            .position(SeriesLabelPosition::UpperRight)
            .background_style(WHITE.mix(0.85))
            .border_style(BLACK.mix(0.3))
            .draw()
            .map_err(chart_error)
    })
}

/// Points of a series, each at the middle of its interval.
pub fn time_points(run: &Summary, values: impl IntoIterator<Item = f64>) -> Vec<(f64, f64)> {
    let interval = run.series.interval_s;
    values
        .into_iter()
        .enumerate()
        .map(|(index, value)| ((index as f64 + 0.5) * interval, value))
        .collect()
}

/// Whether an event is a fault or operation; configuration changes are not.
pub fn is_fault(event: &EventSpan) -> bool {
    event.what != "configuration change"
}

fn fault_spans(run: &Summary) -> impl Iterator<Item = (f64, f64)> {
    let faults = run.events.iter().filter(|event| is_fault(event));
    faults.map(|event| (event.from_s, event.to_s.max(event.from_s + 0.1)))
}

/// Intervals with more than twice the mean number of online requests; adjacent ones are merged.
pub fn bursts(run: &Summary) -> Vec<(f64, f64)> {
    let sent = &run.series.online_sent;
    let mean = sent.iter().sum::<u64>() as f64 / sent.len().max(1) as f64;
    let interval = run.series.interval_s;
    let mut merged: Vec<(f64, f64)> = Vec::new();
    for (index, _) in sent
        .iter()
        .enumerate()
        .filter(|(_, sent)| **sent as f64 > 2.0 * mean.max(1.0))
    {
        let (from, to) = (index as f64 * interval, (index + 1) as f64 * interval);
        match merged.last_mut() {
            Some(last) if from - last.1 < interval / 2.0 => last.1 = to,
            _ => merged.push((from, to)),
        }
    }
    merged
}

/// Formats a number for an axis label.
pub fn format_axis_value(value: f64) -> String {
    if value >= 10_000.0 {
        format!("{:.0}k", value / 1_000.0)
    } else if value >= 1_000.0 {
        format!("{:.1}k", value / 1_000.0)
    } else if value >= 10.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.1}")
    }
}

/// One setting of a trade-off, with the spread over seeds.
pub struct TradeOffPoint {
    /// Text beside the point.
    pub label: String,
    /// Median on the horizontal axis.
    pub x: f64,
    /// Median on the vertical axis.
    pub y: f64,
    /// Minimum and maximum on the vertical axis.
    pub spread: (f64, f64),
}

/// Draws a trade-off between two measures as a line through its points.
pub fn trade_off_chart(
    title: &str,
    (x_name, y_name): (&str, &str),
    points: &[TradeOffPoint],
) -> Result<String, ChartError> {
    let pad = |(low, high): (f64, f64)| {
        let margin = ((high - low) * 0.12).max(high.abs() * 0.02).max(1e-3);
        (low - margin)..(high + margin)
    };
    let (x_low, x_high) = range(points.iter().map(|point| point.x));
    let ends = points.iter().flat_map(|p| [p.spread.0, p.spread.1]);
    draw_svg(CURVE_HEIGHT + 60, |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 16))
            .margin(10)
            .x_label_area_size(40)
            .y_label_area_size(70)
            .build_cartesian_2d(pad((x_low, x_high)), pad(range(ends)))
            .map_err(chart_error)?;
        chart
            .configure_mesh()
            .label_style(("sans-serif", LABEL_SIZE))
            .x_desc(x_name)
            .y_desc(y_name)
            .light_line_style(TRANSPARENT)
            .draw()
            .map_err(chart_error)?;
        let line = points.iter().map(|point| (point.x, point.y));
        chart
            .draw_series(LineSeries::new(line, COLOURS[0].stroke_width(2)))
            .map_err(chart_error)?;
        chart
            .draw_series(points.iter().map(|point| {
                let (low, high) = point.spread;
                ErrorBar::new_vertical(point.x, low, point.y, high, COLOURS[0].filled(), 8)
            }))
            .map_err(chart_error)?;
        let labels = points.iter().map(|point| {
            let style = ("sans-serif", 14).into_font();
            EmptyElement::at((point.x, point.y)) + Text::new(point.label.clone(), (8, -18), style)
        });
        chart.draw_series(labels).map_err(chart_error)?;
        Ok(())
    })
}

fn range(values: impl Iterator<Item = f64>) -> (f64, f64) {
    values.fold((f64::INFINITY, f64::NEG_INFINITY), |(low, high), value| {
        (low.min(value), high.max(value))
    })
}
