//! What became of the requests of a day and why, from the decision records of the nodes. Pure: records in, counts
//! out.
//!
//! Each attempt of a caller is counted once, under how it ended and under the one decision or event that made
//! it so: the first thing that went wrong after it came, or else the wait that took most of its time.

use std::collections::{BTreeMap, HashMap};

use derive_more::Display;
use serde::Serialize;
use serde_json::{Map, Value};

/// Part of the time to the first event from which a wait counts as the cause of a late answer.
const MOST_OF_TARGET: f64 = 0.5;

/// How an attempt of a caller ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum End {
    /// Its whole answer was passed on within the target.
    #[display("in time")]
    InTime,
    /// Its whole answer was passed on, later than the target.
    #[display("late")]
    Late,
    /// The node answered that it has not run and will not.
    #[display("refused")]
    Refused,
    /// The node or the server answered with a failure.
    #[display("failed")]
    Failed,
    /// The answer was broken off.
    #[display("cut")]
    Cut,
    /// The caller closed its connection before the end.
    #[display("caller left")]
    CallerLeft,
    /// The records hold no end: the node ended, or the records did.
    #[display("no end recorded")]
    Unknown,
}

/// One line of the summary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Line {
    /// How attempts ended, or what became of items.
    pub end: String,
    /// The one cause.
    pub cause: String,
    /// Attempts, or runs of items.
    pub count: u64,
    /// Identifiers of some, to be explained one by one.
    pub examples: Vec<String>,
}

/// Identifiers that one line names.
const EXAMPLES: usize = 3;

/// What the records have told of one attempt so far.
#[derive(Debug, Default)]
struct Story {
    /// The first thing that went wrong.
    trouble: Option<String>,
    /// Time from its coming to its last placement.
    placed_after_ms: Option<u64>,
    end: Option<(EndRecord, Map<String, Value>)>,
}

/// The kind of record that ended an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndRecord {
    Finished,
    Refused,
    Cut,
    FailurePassedOn,
    CallerLeft,
}

/// Counts of a day.
#[derive(Debug, Default)]
pub struct Summary {
    requests: HashMap<String, Story>,
    items: BTreeMap<(String, String), (u64, Vec<String>)>,
}

fn text<'a>(record: &'a Map<String, Value>, name: &str) -> &'a str {
    record.get(name).and_then(Value::as_str).unwrap_or_default()
}

fn number(record: &Map<String, Value>, name: &str) -> Option<u64> {
    record.get(name).and_then(Value::as_u64)
}

/// A cause without the figures that differ from case to case, so that like cases add up.
fn kind_of(cause: &str) -> String {
    let words = cause.split_whitespace();
    let kept = words.filter(|word| !word.chars().any(|sign| sign.is_ascii_digit()));
    kept.collect::<Vec<_>>().join(" ")
}

impl Summary {
    /// Takes one record.
    pub fn take(&mut self, record: &Map<String, Value>) {
        let event = text(record, "event");
        match event {
            "item_run" => self.take_run(record),
            "item_paused" => self.count_items("paused", "online work needs the slot", record),
            "items_given_up" => self.count_items("given up", text(record, "cause"), record),
            _ => self.take_request(event, record),
        }
    }

    fn take_run(&mut self, record: &Map<String, Value>) {
        let outcome = text(record, "outcome").to_owned();
        let cause = match (text(record, "cause"), number(record, "status")) {
            ("", Some(status)) => format!("answered {status}"),
            (cause, _) => kind_of(cause),
        };
        self.count_items(&format!("run, {outcome}"), &cause, record);
    }

    fn count_items(&mut self, end: &str, cause: &str, record: &Map<String, Value>) {
        let key = (end.to_owned(), cause.to_owned());
        let (count, examples) = self.items.entry(key).or_default();
        *count += 1;
        let id = match text(record, "item") {
            "" => text(record, "job"),
            item => item,
        };
        note_example(examples, id);
    }

    fn take_request(&mut self, event: &str, record: &Map<String, Value>) {
        let id = text(record, "request");
        if id.is_empty() {
            return;
        }
        let end = match event {
            "request_finished" => EndRecord::Finished,
            "request_refused" => EndRecord::Refused,
            "answer_cut" => EndRecord::Cut,
            "caller_left" => EndRecord::CallerLeft,
            "server_answered_failure" if record.get("again") == Some(&Value::Bool(false)) => {
                EndRecord::FailurePassedOn
            }
            "placed" | "attempt_failed" | "stream_broke" | "server_answered_failure" => {
                self.note_step(event, id, record);
                return;
            }
            _ => return,
        };
        let story = self.requests.entry(id.to_owned()).or_default();
        story.end = Some((end, record.clone()));
    }

    fn note_step(&mut self, event: &str, id: &str, record: &Map<String, Value>) {
        let story = self.requests.entry(id.to_owned()).or_default();
        let trouble = match event {
            "placed" => {
                story.placed_after_ms = number(record, "age_ms");
                return;
            }
            "attempt_failed" => format!("attempt failed: {}", kind_of(text(record, "cause"))),
            "stream_broke" => format!("stream broke: {}", kind_of(text(record, "cause"))),
            _ => format!(
                "server answered {}",
                number(record, "status").unwrap_or_default()
            ),
        };
        story.trouble.get_or_insert(trouble);
    }

    /// The requests, most frequent first.
    pub fn requests(&self) -> Vec<Line> {
        let mut counts: BTreeMap<(End, String), (u64, Vec<String>)> = BTreeMap::new();
        for (id, story) in &self.requests {
            let (count, examples) = counts.entry(story.verdict()).or_default();
            *count += 1;
            examples.push(id.clone());
        }
        let lines = counts.into_iter().map(|((end, cause), (count, examples))| {
            let mut kept = examples;
            kept.sort_unstable();
            kept.truncate(EXAMPLES);
            Line {
                end: end.to_string(),
                cause,
                count,
                examples: kept,
            }
        });
        sorted(lines.collect())
    }

    /// The runs of items, most frequent first.
    pub fn items(&self) -> Vec<Line> {
        let lines = self
            .items
            .iter()
            .map(|((end, cause), (count, examples))| Line {
                end: end.clone(),
                cause: cause.clone(),
                count: *count,
                examples: examples.clone(),
            });
        sorted(lines.collect())
    }
}

fn note_example(examples: &mut Vec<String>, id: &str) {
    if examples.len() < EXAMPLES && !examples.iter().any(|held| held == id) {
        examples.push(id.to_owned());
    }
}

fn sorted(mut lines: Vec<Line>) -> Vec<Line> {
    lines.sort_by(|a, b| b.count.cmp(&a.count).then_with(|| a.cause.cmp(&b.cause)));
    lines
}

impl Story {
    /// How the attempt ended, and why.
    fn verdict(&self) -> (End, String) {
        let Some((kind, record)) = &self.end else {
            return (End::Unknown, self.trouble_or("held when the records end"));
        };
        match kind {
            EndRecord::Finished => self.finished(record),
            EndRecord::Refused => {
                let end = match number(record, "status") {
                    Some(429 | 503) => End::Refused,
                    _ => End::Failed,
                };
                let kind = text(record, "kind");
                let cause = match &self.trouble {
                    Some(trouble) => format!("{kind} after {trouble}"),
                    None => kind.to_owned(),
                };
                (end, cause)
            }
            EndRecord::Cut => (End::Cut, self.trouble_or(&kind_of(text(record, "cause")))),
            EndRecord::FailurePassedOn => {
                let status = number(record, "status").unwrap_or_default();
                (
                    End::Failed,
                    self.trouble_or(&format!("server answered {status}")),
                )
            }
            EndRecord::CallerLeft => (End::CallerLeft, self.trouble_or("no fault before")),
        }
    }

    fn trouble_or(&self, other: &str) -> String {
        self.trouble.clone().unwrap_or_else(|| other.to_owned())
    }

    fn finished(&self, record: &Map<String, Value>) -> (End, String) {
        let target_ms = number(record, "target_ms").filter(|ms| *ms > 0);
        let first_ms = number(record, "first_event_ms");
        let (Some(target_ms), Some(first_ms)) = (target_ms, first_ms) else {
            return (End::InTime, "no target".to_owned());
        };
        if first_ms <= target_ms {
            return (End::InTime, "-".to_owned());
        }
        let most_ms = target_ms as f64 * MOST_OF_TARGET;
        let waited = self.placed_after_ms.is_some_and(|ms| ms as f64 >= most_ms);
        let cause = match (&self.trouble, waited) {
            (Some(trouble), _) => trouble.clone(),
            (None, true) => "waited at its node for a slot".to_owned(),
            (None, false) => "waited at its server".to_owned(),
        };
        (End::Late, cause)
    }
}
