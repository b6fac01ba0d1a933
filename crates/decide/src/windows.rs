//! Declared demand windows: whether one is open or near at a time.

use dappleyard_wire::messages::WindowRow;

/// Seconds of a day.
const DAY_S: u64 = 86_400;
/// Days of a week.
const WEEK_DAYS: u64 = 7;
/// Day 0 of Unix time was a Thursday; Monday is bit 0 of a window's days.
const FIRST_DAY: u64 = 3;

/// Where a window stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WindowState {
    /// Neither open nor near.
    Closed,
    /// Near: models are being made warm.
    Warming,
    /// Open.
    Open,
}

/// Where a window stands at a wall-clock time, seconds since 1970.
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

/// The most advanced state of a service's windows.
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
    // A window that goes over midnight may have begun yesterday.
    [today, today.saturating_sub(1)]
        .into_iter()
        .any(|day| daily(window, day).is_some_and(|(start, end)| (start..end).contains(&now)))
}

fn opens_between(window: &WindowRow, from: u64, to: u64) -> bool {
    if window.ends_unix_s > 0 {
        return window.starts_unix_s > from && window.starts_unix_s <= to;
    }
    (from / DAY_S..=to / DAY_S)
        .any(|day| daily(window, day).is_some_and(|(start, _)| start > from && start <= to))
}

/// Start and end of the window that begins on a day, if it comes on that day.
fn daily(window: &WindowRow, day: u64) -> Option<(u64, u64)> {
    let weekday = (day + FIRST_DAY) % WEEK_DAYS;
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
