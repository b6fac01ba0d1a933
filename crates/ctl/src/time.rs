//! Human-readable times and durations.

use std::time::{SystemTime, UNIX_EPOCH};

pub fn now_unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// UTC time of day with milliseconds.
pub fn time_of_day(unix_ms: u64) -> String {
    let seconds = unix_ms / 1000;
    format!(
        "{:02}:{:02}:{:02}.{:03}",
        seconds / 3600 % 24,
        seconds / 60 % 60,
        seconds % 60,
        unix_ms % 1000
    )
}

/// Formats a duration in its two largest units.
pub fn duration(milliseconds: u64) -> String {
    let seconds = milliseconds / 1000;
    match seconds {
        0 => format!("{milliseconds} ms"),
        1..60 => format!("{}.{} s", seconds, milliseconds % 1000 / 100),
        60..3600 => format!("{} min {} s", seconds / 60, seconds % 60),
        3600..86_400 => format!("{} h {} min", seconds / 3600, seconds / 60 % 60),
        _ => format!("{} d {} h", seconds / 86_400, seconds / 3600 % 24),
    }
}

/// Formats a time relative to now.
pub fn relative(unix_s: u64, now_unix_ms: u64) -> String {
    let now = now_unix_ms / 1000;
    if unix_s == 0 {
        "unknown".to_owned()
    } else if unix_s >= now {
        format!("in {}", duration((unix_s - now) * 1000))
    } else {
        format!("{} ago", duration((now - unix_s) * 1000))
    }
}
