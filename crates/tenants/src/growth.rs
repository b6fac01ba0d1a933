//! Growth of the fleet's credit, and the credit withheld for zones whose reports are late. Pure; time is an argument.

use std::time::Duration;

use dappleyard_clock::Instant;

/// Credit that may not be spent, in seconds of the fleet's rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct HeldCredit {
    /// Credit that is lost.
    pub(crate) forfeited_s: f64,
    /// Credit that may be spent once the late zones have reported.
    pub(crate) withheld_s: f64,
}

/// Fractions of the fleet's rate at which credit grows, and the credit withheld for late zones.
#[derive(Debug)]
pub(crate) struct GrowthTracker {
    /// Fraction of the fleet that counts as heard.
    heard: f64,
    /// Fraction of the fleet whose last report is not late.
    prompt: f64,
    /// Time of the last update.
    at: Instant,
    /// Credit withheld so far, as time at the fleet's rate.
    withheld: Duration,
}

impl GrowthTracker {
    /// Creates a tracker that has no reports yet.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            heard: 1.0,
            prompt: 0.0,
            at: now,
            withheld: Duration::ZERO,
        }
    }

    /// Fraction of the rate at which credit grows.
    pub(crate) fn heard(&self) -> f64 {
        self.heard
    }

    /// Updates the fractions. Withheld credit is released once all reports are in time again, and is forfeited when a
    /// reporting node or zone falls silent.
    pub(crate) fn update(&mut self, heard: f64, prompt: f64, now: Instant) -> HeldCredit {
        let elapsed = now.saturating_duration_since(self.at);
        self.withheld += elapsed.mul_f64((self.heard - self.prompt).max(0.0));
        let forfeited = match heard < self.heard {
            true => std::mem::take(&mut self.withheld),
            false => Duration::ZERO,
        };
        if prompt >= heard {
            self.withheld = Duration::ZERO;
        }
        self.heard = heard;
        self.prompt = prompt;
        self.at = self.at.max(now);
        HeldCredit {
            forfeited_s: forfeited.as_secs_f64(),
            withheld_s: self.withheld.as_secs_f64(),
        }
    }
}
