//! How fast credit of the fleet grows, and what is held back for zones whose word is late. Pure.

use std::time::Duration;

use dappleyard_clock::Instant;

/// Credit that is not to be spent, in seconds of the fleet's rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Held {
    /// It is not there any more.
    pub(crate) given_up_s: f64,
    /// It is there, and may be spent once zones that are late are heard.
    pub(crate) back_s: f64,
}

/// Growth as of the last look, as parts of the fleet's rate.
#[derive(Debug)]
pub(crate) struct Growing {
    /// The part of the fleet that counts as heard.
    heard: f64,
    /// The part whose word came in time.
    prompt: f64,
    at: Instant,
    /// Credit held back so far, as time of the fleet's rate.
    held_back: Duration,
}

impl Growing {
    /// Nothing is known of others yet.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            heard: 1.0,
            prompt: 0.0,
            at: now,
            held_back: Duration::ZERO,
        }
    }

    /// The part of its rate by which credit grows.
    pub(crate) fn heard(&self) -> f64 {
        self.heard
    }

    /// Takes a look. What is held back may be spent once all that are heard are in time again; it is given up
    /// when one of them falls silent.
    pub(crate) fn note(&mut self, heard: f64, prompt: f64, now: Instant) -> Held {
        let passed = now.saturating_duration_since(self.at);
        self.held_back += passed.mul_f64((self.heard - self.prompt).max(0.0));
        let given_up = match heard < self.heard {
            true => std::mem::take(&mut self.held_back),
            false => Duration::ZERO,
        };
        if prompt >= heard {
            self.held_back = Duration::ZERO;
        }
        self.heard = heard;
        self.prompt = prompt;
        self.at = self.at.max(now);
        Held {
            given_up_s: given_up.as_secs_f64(),
            back_s: self.held_back.as_secs_f64(),
        }
    }
}
