//! State of declared demand windows.

use dappleyard_wire::messages::WindowRow;

const DAY_S: u64 = 86_400;
const WEEK_DAYS: u64 = 7;
/// Weekday of the Unix epoch, a Thursday, with Monday as 0.
const EPOCH_WEEKDAY: u64 = 3;

/// State of a demand window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WindowState {
    /// Neither open nor warming.
    Closed,
    /// About to open; models are being loaded.
    Warming,
    Open,
}

/// State of a window at a wall-clock time in seconds since the Unix epoch.
pub fn state(window: &WindowRow, now_unix_s: u64) -> WindowState {
    let warming = now_unix_s + u64::from(window.warm_before_s);
    if is_open(window, now_unix_s) {
        WindowState::Open
    } else if opens_between(window, now_unix_s, warming) {
        WindowState::Warming
    } else {
        WindowState::Closed
    }
}

/// Most active state among the windows of a service.
pub fn service_state<'a>(
    windows: impl Iterator<Item = &'a WindowRow>,
    service: &str,
    now_unix_s: u64,
) -> WindowState {
    windows
        .filter(|window| window.service == service)
        .map(|window| state(window, now_unix_s))
        .max()
        .unwrap_or(WindowState::Closed)
}

fn is_open(window: &WindowRow, now: u64) -> bool {
    if window.ends_unix_s > 0 {
        return (window.starts_unix_s..window.ends_unix_s).contains(&now);
    }
    let today = now / DAY_S;
    // A window across midnight may have started yesterday.
    [today, today.saturating_sub(1)]
        .into_iter()
        .any(|day| occurrence(window, day).is_some_and(|(start, end)| (start..end).contains(&now)))
}

fn opens_between(window: &WindowRow, from: u64, to: u64) -> bool {
    if window.ends_unix_s > 0 {
        return window.starts_unix_s > from && window.starts_unix_s <= to;
    }
    (from / DAY_S..=to / DAY_S)
        .any(|day| occurrence(window, day).is_some_and(|(start, _)| start > from && start <= to))
}

/// Start and end of the window's occurrence that starts on a day, if any.
fn occurrence(window: &WindowRow, day: u64) -> Option<(u64, u64)> {
    let weekday = (day + EPOCH_WEEKDAY) % WEEK_DAYS;
    if window.days & (1 << weekday) == 0 {
        return None;
    }
    let start = day * DAY_S + u64::from(window.start_s);
    let same_day = day * DAY_S + u64::from(window.end_s);
    let end = if window.end_s > window.start_s {
        same_day
    } else {
        same_day + DAY_S
    };
    Some((start, end))
}
