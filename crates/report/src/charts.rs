//! Plots as SVG text.

use plotters::coord::Shift;
use plotters::prelude::*;

use crate::summary::{EventSpan, QuantilePoint, Summary};

/// Width of a plot, pixels; fits a laptop beside the page's margins.
const WIDTH: u32 = 1120;
/// Heights, pixels.
const CURVE_HEIGHT: u32 = 300;
const TIMELINE_HEIGHT: u32 = 220;
/// Size of the text beside axes, pixels.
const LABEL_SIZE: u32 = 13;
/// Quantiles from here on are drawn: below, all policies look alike.
const GREATEST_NINES: f64 = 4.0;
/// Colours that people who see few colours can tell apart.
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(60, 60, 60),
];
const FAULT: RGBColor = RGBColor(220, 50, 47);
const BURST: RGBColor = RGBColor(240, 200, 60);

/// A plot could not be drawn.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("a plot could not be drawn: {cause}")]
pub struct ChartError {
    cause: String,
}

type Drawn = Result<(), ChartError>;
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

fn failed(cause: impl std::fmt::Display) -> ChartError {
    ChartError {
        cause: cause.to_string(),
    }
}

fn svg(height: u32, draw: impl FnOnce(&Area) -> Drawn) -> Result<String, ChartError> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, (WIDTH, height)).into_drawing_area();
        area.fill(&WHITE).map_err(failed)?;
        draw(&area)?;
        area.present().map_err(failed)?;
    }
    Ok(text)
}

/// A named line.
pub struct Line<'a> {
    /// Legend.
    pub label: &'a str,
    /// Points.
    pub points: Vec<(f64, f64)>,
}

/// Distributions as tail curves: nines on the horizontal axis, so that p90, p99 and p99.9 are equally
/// far apart; milliseconds, logarithmic, on the other.
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
    let (least, greatest) = bounds(values, 0.1);
    svg(CURVE_HEIGHT, |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .margin_right(28)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(
                0.0..GREATEST_NINES,
                (least * 0.9..greatest * 1.1).log_scale(),
            )
            .map_err(failed)?;
        chart
            .configure_mesh()
            .label_style(("sans-serif", LABEL_SIZE))
            .x_labels(5)
            .y_labels(4)
            .x_label_formatter(&|nines| quantile_name(*nines))
            .y_label_formatter(&|value| milliseconds(*value))
            .y_desc("ms")
            .x_desc("share of requests at most so slow")
            .light_line_style(TRANSPARENT)
            .draw()
            .map_err(failed)?;
        for (index, line) in lines.iter().enumerate() {
            let colour = COLOURS[index % COLOURS.len()];
            chart
                .draw_series(LineSeries::new(
                    line.points.iter().copied(),
                    colour.stroke_width(2),
                ))
                .map_err(failed)?
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
            .map_err(failed)
    })
}

fn nines(quantile: f64) -> f64 {
    -(1.0 - quantile).max(1e-9).log10()
}

fn quantile_name(nines: f64) -> String {
    let percent = 100.0 * (1.0 - 10_f64.powf(-nines));
    let text = format!("{percent:.2}");
    format!("{}%", text.trim_end_matches('0').trim_end_matches('.'))
}

fn milliseconds(value: f64) -> String {
    if value >= 10.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.1}")
    }
}

fn bounds(values: impl Iterator<Item = f64>, least: f64) -> (f64, f64) {
    let (low, high) = values.fold((f64::INFINITY, least), |(low, high), value| {
        (low.min(value), high.max(value))
    });
    (low.min(high).max(least), high.max(least * 10.0))
}

/// Lines over the time of one run, with faults and online bursts marked.
pub fn timeline(run: &Summary, title: &str, lines: &[Line]) -> Result<String, ChartError> {
    let length = run.seconds as f64;
    let values = lines.iter().flat_map(|line| &line.points).map(|p| p.1);
    let greatest = values.fold(1.0, f64::max) * 1.08;
    svg(TIMELINE_HEIGHT, |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 15))
            .margin(6)
            .margin_right(28)
            .x_label_area_size(28)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..length, 0.0..greatest)
            .map_err(failed)?;
        chart
            .configure_mesh()
            .label_style(("sans-serif", LABEL_SIZE))
            .x_label_formatter(&|second| format!("{second:.0} s"))
            .y_label_formatter(&|value| short(*value))
            .y_labels(5)
            .light_line_style(TRANSPARENT)
            .draw()
            .map_err(failed)?;
        let spans = bursts(run)
            .into_iter()
            .map(|span| (span, BURST.mix(0.30)))
            .chain(fault_spans(run).map(|span| (span, FAULT.mix(0.13))));
        let rectangles = spans.map(|((from, to), style)| {
            let corners = [(from.max(0.0), 0.0), (to.min(length), greatest)];
            Rectangle::new(corners, style.filled())
        });
        chart.draw_series(rectangles).map_err(failed)?;
        for (index, line) in lines.iter().enumerate() {
            let colour = COLOURS[index % COLOURS.len()];
            chart
                .draw_series(LineSeries::new(
                    line.points.iter().copied(),
                    colour.stroke_width(2),
                ))
                .map_err(failed)?
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
            .map_err(failed)
    })
}

/// Points of a series over time, at the middle of each interval.
pub fn over_time(run: &Summary, values: impl IntoIterator<Item = f64>) -> Vec<(f64, f64)> {
    let interval = run.series.interval_s;
    values
        .into_iter()
        .enumerate()
        .map(|(index, value)| ((index as f64 + 0.5) * interval, value))
        .collect()
}

/// Whether an event disturbs the fleet; a routine change of configuration does not.
pub fn is_fault(event: &EventSpan) -> bool {
    event.what != "configuration change"
}

fn fault_spans(run: &Summary) -> impl Iterator<Item = (f64, f64)> {
    let faults = run.events.iter().filter(|event| is_fault(event));
    faults.map(|event| (event.from_s, event.to_s.max(event.from_s + 0.1)))
}

/// Intervals in which clearly more online requests were sent than usual, joined where they touch.
pub fn bursts(run: &Summary) -> Vec<(f64, f64)> {
    let sent = &run.series.online_sent;
    let mean = sent.iter().sum::<u64>() as f64 / sent.len().max(1) as f64;
    let interval = run.series.interval_s;
    let mut joined: Vec<(f64, f64)> = Vec::new();
    for (index, _) in sent
        .iter()
        .enumerate()
        .filter(|(_, sent)| **sent as f64 > 2.0 * mean.max(1.0))
    {
        let (from, to) = (index as f64 * interval, (index + 1) as f64 * interval);
        match joined.last_mut() {
            Some(last) if from - last.1 < interval / 2.0 => last.1 = to,
            _ => joined.push((from, to)),
        }
    }
    joined
}

/// A number that fits beside an axis.
pub fn short(value: f64) -> String {
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

/// A point of a trade-off: one setting, with the spread over seeds.
pub struct Trade {
    /// What is written beside the point.
    pub label: String,
    /// Median on the horizontal axis.
    pub x: f64,
    /// Median on the vertical axis.
    pub y: f64,
    /// Least and greatest on the vertical axis.
    pub spread: (f64, f64),
}

/// A trade-off between two measures, as a line through its points.
pub fn trade_off(
    title: &str,
    (x_name, y_name): (&str, &str),
    points: &[Trade],
) -> Result<String, ChartError> {
    let pad = |(low, high): (f64, f64)| {
        let margin = ((high - low) * 0.12).max(high.abs() * 0.02).max(1e-3);
        (low - margin)..(high + margin)
    };
    let (x_low, x_high) = range(points.iter().map(|point| point.x));
    let ends = points.iter().flat_map(|p| [p.spread.0, p.spread.1]);
    svg(CURVE_HEIGHT + 60, |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 16))
            .margin(10)
            .x_label_area_size(40)
            .y_label_area_size(70)
            .build_cartesian_2d(pad((x_low, x_high)), pad(range(ends)))
            .map_err(failed)?;
        chart
            .configure_mesh()
            .label_style(("sans-serif", LABEL_SIZE))
            .x_desc(x_name)
            .y_desc(y_name)
            .light_line_style(TRANSPARENT)
            .draw()
            .map_err(failed)?;
        let line = points.iter().map(|point| (point.x, point.y));
        chart
            .draw_series(LineSeries::new(line, COLOURS[0].stroke_width(2)))
            .map_err(failed)?;
        chart
            .draw_series(points.iter().map(|point| {
                let (low, high) = point.spread;
                ErrorBar::new_vertical(point.x, low, point.y, high, COLOURS[0].filled(), 8)
            }))
            .map_err(failed)?;
        let labels = points.iter().map(|point| {
            let style = ("sans-serif", 14).into_font();
            EmptyElement::at((point.x, point.y)) + Text::new(point.label.clone(), (8, -18), style)
        });
        chart.draw_series(labels).map_err(failed)?;
        Ok(())
    })
}

fn range(values: impl Iterator<Item = f64>) -> (f64, f64) {
    values.fold((f64::INFINITY, f64::NEG_INFINITY), |(low, high), value| {
        (low.min(value), high.max(value))
    })
}
