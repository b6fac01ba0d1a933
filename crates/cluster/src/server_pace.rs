//! How long work takes at one server, against the usual. Pure: time is an argument.
//!
//! Servers share their machines with others. Some take several times as long as the rest for as long as they live,
//! some for a part of a second; a count of requests under way shows neither. Two numbers are kept apart: the lasting
//! pace, a mean over some seconds, and the newest one, which is believed for less than a second. A choice that
//! trusted the newest for longer would go by what has passed, and one that knew the mean only would send requests
//! into every slow moment.
//!
//! What a server says of itself is bounded: a wrong figure makes it less wanted, or more, but neither closes it
//! nor draws everything there.

use std::time::Duration;

use dappleyard_clock::Instant;

/// Age up to which the newest figure is believed whole: it is on its way for some tens of milliseconds.
const NEWEST_WHOLE: Duration = Duration::from_millis(100);
/// Age from which it tells nothing beside the lasting pace.
pub(crate) const NEWEST_LIFE: Duration = Duration::from_millis(600);
/// Time over which the lasting pace is taken: several slow moments.
const LASTING: Duration = Duration::from_secs(2);
/// Time over which the lasting pace of a server that nobody hears goes back to the usual, so that a server that was
/// slow once is tried again.
const FORGOTTEN: Duration = Duration::from_secs(10);
/// Least and greatest time that work is believed to take, as a multiple of the usual.
const BOUNDS: (f64, f64) = (0.25, 8.0);
/// Two paces differ by much when one is this multiple of the other.
const MUCH: f64 = 1.25;

/// Time that work takes at a server, as a multiple of the usual.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Pace(f64);

impl Default for Pace {
    fn default() -> Self {
        Self::USUAL
    }
}

impl Pace {
    /// Work takes as long as usual, for all that is known.
    pub const USUAL: Self = Self(1.0);

    /// A multiple of the usual time, within bounds.
    pub fn new(times: f64) -> Self {
        match times.is_finite() {
            true => Self(times.clamp(BOUNDS.0, BOUNDS.1)),
            false => Self::USUAL,
        }
    }

    /// A figure where 100 is as usual; `None` for one that says nothing.
    pub fn of_percent(percent: u32) -> Option<Self> {
        (percent > 0).then(|| Self::new(f64::from(percent) / 100.0))
    }

    /// The figure where 100 is as usual.
    pub fn percent(self) -> u32 {
        (self.0 * 100.0).round() as u32
    }

    /// The multiple of the usual time.
    pub fn times(self) -> f64 {
        self.0
    }

    /// Both together: a multiple of a multiple.
    pub fn of(self, other: Self) -> Self {
        Self::new(self.0 * other.0)
    }

    /// Whether another pace is so different that it should be told.
    pub fn differs_much(self, other: Self) -> bool {
        let (low, high) = (self.0.min(other.0), self.0.max(other.0));
        high >= low * MUCH
    }
}

/// What is known of the pace of one server.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerPace {
    newest: Option<(Instant, Pace)>,
    lasting: Pace,
}

impl ServerPace {
    /// Takes a figure as of some time; `false` when a newer one is known.
    pub fn note(&mut self, pace: Pace, at: Instant) -> bool {
        let Some((held_at, _)) = self.newest else {
            self.newest = Some((at, pace));
            self.lasting = pace;
            return true;
        };
        if at <= held_at {
            return false;
        }
        let lasting = self.lasting(at);
        // One figure stands for no more than the time for which it is believed.
        let stands_for = at.duration_since(held_at).min(NEWEST_LIFE);
        let share = 1.0 - (-stands_for.as_secs_f64() / LASTING.as_secs_f64()).exp();
        self.lasting = Pace(lasting.0 + share * (pace.0 - lasting.0));
        self.newest = Some((at, pace));
        true
    }

    /// Whether any figure has come.
    pub fn is_known(&self) -> bool {
        self.newest.is_some()
    }

    /// Whether the newest figure is older than another one by more than some time.
    pub(crate) fn is_older_than(&self, at: Instant, by: Duration) -> bool {
        self.newest.is_none_or(|(held_at, _)| held_at + by < at)
    }

    /// The newest figure and its age, while it tells something.
    pub fn newest(&self, now: Instant) -> Option<(Duration, Pace)> {
        let (at, pace) = self.newest?;
        let age = now.saturating_duration_since(at);
        (age < NEWEST_LIFE).then_some((age, pace))
    }

    /// The pace of the last seconds.
    pub fn lasting(&self, now: Instant) -> Pace {
        let Some((at, _)) = self.newest else {
            return Pace::USUAL;
        };
        let age = now.saturating_duration_since(at);
        if age <= NEWEST_LIFE || self.lasting == Pace::USUAL {
            return self.lasting;
        }
        let unheard = age.saturating_sub(NEWEST_LIFE).as_secs_f64();
        let kept = (-unheard / FORGOTTEN.as_secs_f64()).exp();
        Pace(1.0 + (self.lasting.0 - 1.0) * kept)
    }

    /// Whether work takes about as long as usual, now and over the last seconds.
    pub fn is_usual(&self, now: Instant) -> bool {
        let newest = self.newest(now).map(|(_, pace)| pace);
        let mut paces = newest.into_iter().chain([self.lasting(now)]);
        !paces.any(|pace| pace.differs_much(Pace::USUAL))
    }

    /// The pace that is expected now.
    pub fn now(&self, now: Instant) -> Pace {
        let lasting = self.lasting(now);
        let Some((age, newest)) = self.newest(now) else {
            return lasting;
        };
        let doubtful = age.saturating_sub(NEWEST_WHOLE).as_secs_f64();
        let trust = 1.0 - doubtful / (NEWEST_LIFE - NEWEST_WHOLE).as_secs_f64();
        Pace(lasting.0 + trust * (newest.0 - lasting.0))
    }
}
