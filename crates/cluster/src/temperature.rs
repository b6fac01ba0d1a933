//! What a node believes of the temperature of one server. Pure: times are arguments.
//!
//! A server may turn cold at any moment, and its row tells so seconds late; only its answer to a health question
//! tells at once. So a server that was out of sight for as long as it takes to turn cold is of unknown temperature
//! until somebody has asked it.

use std::time::Duration;

use dappleyard_clock::Instant;
use derive_more::Display;

/// Time without a byte from a server to any node after which it may have been away unseen. Shorter than the three
/// heartbeats after which discovery drops it; a server with work is heard several times a second.
const UNSEEN: Duration = Duration::from_millis(2_000);
/// Delay with which a row tells what a server knows of itself: one heartbeat and the way through the store.
const ROW_DELAY: Duration = Duration::from_millis(2_500);
/// Time that news takes from one node to all others. A server is found silent after 900 ms without a byte, so an
/// answer to a question that was asked this long before the news still comes from after the silence.
const NEWS_DELAY: Duration = Duration::from_millis(500);
/// Time by which one node may learn later than another that a server was taken back into use. Nobody asks a server
/// that is out of use, so a question within this time is one of a node that had learnt of it.
const TAKEN_BACK_DELAY: Duration = Duration::from_millis(2_000);
/// Time after which a server that is seen for the first time was not there when its zone was taken back.
const TAKEN_BACK_LIFE: Duration = Duration::from_secs(10);

/// Temperature of a server as a node believes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Temperature {
    /// It takes as many requests as it has room for.
    #[display("warm")]
    Warm,
    /// It bears a bounded rate.
    #[display("cold")]
    Cold,
    /// It was out of sight, has answered since, and nobody knows yet how it is: treated as cold.
    #[display("in doubt")]
    InDoubt,
    /// It was out of sight, and no question has been answered since.
    #[display("unknown")]
    Unknown,
}

/// What told a node of the temperature.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Teller {
    /// The server's row.
    #[display("row")]
    Row,
    /// The server's answer to a health question.
    #[display("health")]
    Health,
    /// Another node.
    #[display("node")]
    Node,
    /// The server was silent, or could not be reached.
    #[display("silence")]
    Silence,
    /// Nobody has used the server for a while.
    #[display("unused")]
    Unused,
    /// Operators took it back into use.
    #[display("taken back")]
    TakenBack,
    /// The time that it was told to be cold is over.
    #[display("time")]
    Time,
}

/// An answer to a health question, as nodes tell each other of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Checked {
    /// When the question was asked.
    pub at: Instant,
    /// How much longer the server is cold from then on.
    pub cold: Duration,
}

impl Checked {
    /// Whether other nodes should hear of it still.
    pub fn is_told(&self, now: Instant) -> bool {
        now < self.at + self.cold.max(ROW_DELAY)
    }
}

/// What is known of one server.
#[derive(Debug, Clone, Copy, Default)]
pub struct Thermal {
    /// What the row said last.
    row_cold_ms: Option<u64>,
    cold_until: Option<Instant>,
    out_of_sight: Option<(Instant, Teller)>,
    /// Some answer came since, but not one that tells the temperature.
    reached: bool,
    checked: Option<Checked>,
    /// When any byte is known to have come from the server, to any node.
    heard: Option<Instant>,
    /// When this node learnt that operators took it back into use.
    taken_back: Option<Instant>,
    /// When another node last told that the server is silent.
    silence_told: Option<Instant>,
    teller: Option<Teller>,
    /// When it was first seen, or found to be back after a time out of sight.
    back: Option<Instant>,
}

impl Thermal {
    /// The temperature now, and what told of it.
    pub fn temperature(&self, now: Instant) -> (Temperature, Teller) {
        let is_cold = self.cold_until.is_some_and(|until| until > now);
        let out_of_sight = match is_cold {
            // Unused or not, it gets no more than a cold server does.
            true => self.out_of_sight,
            false => self.out_of_sight(now),
        };
        if let Some((_, teller)) = out_of_sight {
            return match self.reached {
                true => (Temperature::InDoubt, teller),
                false => (Temperature::Unknown, teller),
            };
        }
        match self.cold_until {
            Some(_) if is_cold => (Temperature::Cold, self.teller.unwrap_or(Teller::Row)),
            Some(_) => (Temperature::Warm, Teller::Time),
            None => (Temperature::Warm, self.teller.unwrap_or(Teller::Row)),
        }
    }

    /// Since when the server is out of sight.
    fn out_of_sight(&self, now: Instant) -> Option<(Instant, Teller)> {
        if self.out_of_sight.is_some() {
            return self.out_of_sight;
        }
        let checked = self.checked.map(|checked| checked.at);
        let seen = self.heard?.max(checked.unwrap_or(self.heard?));
        (now.duration_since(seen) >= UNSEEN).then_some((seen, Teller::Unused))
    }

    /// Whether anything is known that must outlast a time without work.
    pub fn is_followed(&self) -> bool {
        self.row_cold_ms.is_some()
    }

    /// Whether a byte came from the server after it went out of sight: asking it is no waste.
    pub fn is_alive(&self, now: Instant) -> bool {
        let since = self.out_of_sight(now).map(|(since, _)| since);
        // News of the last bytes may come after the word of silence.
        let later = |since: Instant| {
            self.heard
                .is_some_and(|heard| heard > since + 2 * NEWS_DELAY)
        };
        since.is_some_and(later)
    }

    /// When the server was first seen, or found to be back after a time out of sight: connections to its address that
    /// are older may be dead.
    pub fn back(&self) -> Option<Instant> {
        self.back
    }

    /// Takes what the server's row says. A row is older than an answer to a question that was asked within the
    /// delay of rows, and then tells nothing.
    pub fn note_row(&mut self, cold_ms: u64, now: Instant) {
        if self.row_cold_ms == Some(cold_ms) {
            return;
        }
        if self.row_cold_ms.replace(cold_ms).is_none() {
            // Its address may be that of a server that was there before.
            self.back = Some(now);
        }
        let asked_lately = self
            .checked
            .is_some_and(|checked| now.duration_since(checked.at) < ROW_DELAY);
        if cold_ms == 0 || asked_lately {
            // A row that says warm may stem from before the server turned cold: that time runs out by itself.
            return;
        }
        let until = now + Duration::from_millis(cold_ms);
        self.cold_until = self.cold_until.max(Some(until));
        self.teller = Some(Teller::Row);
    }

    /// Notes that nobody has heard the server for long, where that is so. It then stays out of sight until it has
    /// answered a question: bytes that come later may be those of a node that takes it for warm.
    pub fn note_unused(&mut self, now: Instant) {
        let is_cold = self.cold_until.is_some_and(|until| until > now);
        if !is_cold && self.is_followed() {
            self.out_of_sight = self.out_of_sight(now);
        }
    }

    /// A byte came from the server to some node.
    pub fn note_heard(&mut self, at: Instant) {
        self.heard = self.heard.max(Some(at));
    }

    /// This node found the server silent, or could not reach it.
    pub fn note_silent(&mut self, now: Instant) {
        self.out_of_sight = Some((now, Teller::Silence));
        self.reached = false;
    }

    /// Another node tells that it found the server silent a moment ago; it does so in each message for a while.
    pub fn note_told_silent(&mut self, now: Instant) {
        let heard = |heard: Instant| now.duration_since(heard) < NEWS_DELAY;
        if self.heard.is_some_and(heard) {
            // Others hear the server: the trouble is that node's own. If not, it goes on telling of the silence.
            return;
        }
        let last = self.silence_told.replace(now);
        if last.is_some_and(|last| now.duration_since(last) < NEWS_DELAY) {
            return;
        }
        let since = now.checked_sub(NEWS_DELAY).unwrap_or(now);
        let answered = self.checked.is_some_and(|checked| checked.at >= since);
        if !answered && self.out_of_sight.is_none_or(|(held, _)| held < since) {
            self.out_of_sight = Some((since, Teller::Silence));
            self.reached = false;
        }
    }

    /// Operators took the server back into use, as this node learnt at some time: it may have turned cold while it
    /// got no work. Saying it again changes nothing.
    pub fn note_taken_back(&mut self, at: Instant, now: Instant) {
        if self.taken_back.replace(at) == Some(at) {
            return;
        }
        if !self.is_followed() && now.duration_since(at) > TAKEN_BACK_LIFE {
            // It came into view later.
            return;
        }
        let since = at.checked_sub(TAKEN_BACK_DELAY).unwrap_or(at);
        if self.checked.is_none_or(|checked| checked.at < since) {
            self.out_of_sight = Some((since, Teller::TakenBack));
            self.reached = false;
        }
    }

    /// Takes an answer to a health question, of this node or of another one; the newest question counts.
    pub fn note_checked(&mut self, answer: Checked, teller: Teller, now: Instant) {
        if self.checked.is_some_and(|held| held.at >= answer.at) {
            return;
        }
        if let Some((since, _)) = self.out_of_sight(now) {
            if answer.at < since {
                return;
            }
            self.out_of_sight = None;
            self.reached = false;
            self.back = Some(answer.at);
        }
        self.checked = Some(answer);
        self.cold_until = (!answer.cold.is_zero()).then(|| answer.at + answer.cold);
        self.teller = Some(teller);
    }

    /// The server answered a question without telling its temperature.
    pub fn note_reached(&mut self, now: Instant) {
        if let Some(held) = self.out_of_sight(now) {
            self.out_of_sight = Some(held);
            self.reached = true;
        }
    }
}
