//! A scripted fake engine. Its streams survive a lost connection.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use dappleyard_engine::{
    CacheEvent, Engine, EngineError, EngineEvent, EngineOrder, EngineReport, EventStream,
    GenerateCall, LoadedModel,
};
use futures::stream;

use super::{SERVICE, TOKENS, VERSION};

pub const TOKEN_TIME: Duration = Duration::from_millis(4);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Accept,
    /// Sends tokens, one event each.
    Tokens(u32),
    Finish,
    /// Loses the connection.
    Lose,
    /// Sends nothing more.
    Hang,
}

/// Behaviour of one call.
#[derive(Debug, Clone)]
pub enum Script {
    Steps(Vec<Step>),
    Unreachable,
    Refuse(u16),
    /// The connection is lost before the response.
    LostAtCall,
    /// The call never gets a response.
    SilentAtCall,
    /// The engine crashes while it runs the request and stays down for the rest of the test.
    Crash,
}

impl Script {
    /// Whether the request may have run.
    fn may_run(&self) -> bool {
        !matches!(self, Script::Unreachable | Script::Refuse(_))
    }

    pub fn full_answer() -> Script {
        Script::Steps(vec![Step::Accept, Step::Tokens(TOKENS), Step::Finish])
    }
}

/// Text of the token at an offset, the same on all servers.
pub fn piece(offset: u32) -> String {
    format!(" t{offset}")
}

pub fn report(server: &str, version: &str) -> EngineReport {
    EngineReport {
        server: server.to_owned(),
        sequence: 1,
        age_ms: 0,
        model: Some(LoadedModel {
            service: SERVICE.to_owned(),
            version: version.to_owned(),
            adapters: Vec::new(),
        }),
        loading: String::new(),
        running_online: 0,
        running_batch: 0,
        waiting_online: 0,
        waiting_batch: 0,
        free_blocks: 3_750,
        total_blocks: 3_750,
        block_tokens: 16,
        maximum_sequences: 128,
        step_ms: 4.0,
        accepting: true,
        order_epoch: 0,
        order_sequence: 0,
        load_failure: String::new(),
    }
}

#[derive(Default)]
pub struct FakeEngine {
    scripts: RefCell<BTreeMap<String, VecDeque<Script>>>,
    /// Base URL and body of each call to `generate`.
    pub calls: RefCell<Vec<(String, GenerateCall)>>,
    /// Request ids of calls that may have started a run.
    pub runs: RefCell<Vec<String>>,
    /// Ids of cancelled streams.
    pub cancels: RefCell<Vec<String>>,
    /// Base URLs of crashed engines.
    pub crashed: RefCell<Vec<String>>,
    /// Servers whose status reports that they accept no new work.
    pub draining: RefCell<Vec<String>>,
    /// Number of status and report calls.
    pub statuses: Cell<u32>,
    next_stream: Cell<u32>,
    /// Streams that can be attached to.
    pub live_streams: RefCell<Vec<String>>,
    /// Length of answers returned without delay; 0 to follow the scripts.
    immediate_tokens: Cell<u32>,
}

impl FakeEngine {
    /// Sets the behaviour of the next calls to a server; later calls give complete answers.
    pub fn script(&self, server: &str, scripts: impl IntoIterator<Item = Script>) {
        let mut all = self.scripts.borrow_mut();
        let queue = all.entry(format!("http://{server}")).or_default();
        queue.extend(scripts);
    }

    /// Makes every call return an answer of `tokens` tokens without delay.
    pub fn answer_immediately(&self, tokens: u32) {
        self.immediate_tokens.set(tokens);
    }

    /// Clears the recorded calls, runs and streams, which would grow without bound in a benchmark.
    pub fn clear_calls(&self) {
        self.calls.borrow_mut().clear();
        self.runs.borrow_mut().clear();
        self.live_streams.borrow_mut().clear();
    }

    pub fn servers_called(&self) -> Vec<String> {
        let calls = self.calls.borrow();
        calls
            .iter()
            .map(|(base, _)| base.replace("http://", ""))
            .collect()
    }

    fn next_script(&self, base: &str) -> Script {
        let mut scripts = self.scripts.borrow_mut();
        let queue = scripts.get_mut(base);
        queue
            .and_then(VecDeque::pop_front)
            .unwrap_or_else(Script::full_answer)
    }

    fn open(&self, call: &GenerateCall, steps: Vec<Step>) -> EventStream {
        let attached = !call.attach_stream.is_empty();
        let id = if attached {
            call.attach_stream.clone()
        } else {
            self.next_stream.set(self.next_stream.get() + 1);
            format!("e{}", self.next_stream.get())
        };
        self.live_streams.borrow_mut().push(id.clone());
        Box::pin(events(id, call.resume_offset, steps))
    }
}

fn events(
    id: String,
    offset: u32,
    steps: Vec<Step>,
) -> impl futures::Stream<Item = Result<EngineEvent, EngineError>> {
    let single = steps.into_iter().flat_map(|step| match step {
        Step::Tokens(count) => vec![Step::Tokens(1); count as usize],
        other => vec![other],
    });
    let queue: VecDeque<Step> = single.collect();
    stream::unfold((queue, offset, id), |(mut queue, offset, id)| async move {
        let event = match queue.pop_front()? {
            Step::Accept => Ok(EngineEvent::Accepted {
                stream: id.clone(),
                version: VERSION.to_owned(),
            }),
            Step::Tokens(_) if offset >= TOKENS => return Some((finished(), (queue, offset, id))),
            Step::Tokens(_) => {
                tokio::time::sleep(TOKEN_TIME).await;
                let event = EngineEvent::Tokens {
                    offset,
                    pieces: vec![piece(offset)],
                };
                return Some((Ok(event), (queue, offset + 1, id)));
            }
            Step::Finish => finished(),
            Step::Lose => Err(EngineError::Lost {
                reason: "connection reset".to_owned(),
            }),
            Step::Hang => std::future::pending().await,
        };
        Some((event, (queue, offset, id)))
    })
}

fn immediate_answer(tokens: u32) -> EventStream {
    let accepted = EngineEvent::Accepted {
        stream: "e0".to_owned(),
        version: VERSION.to_owned(),
    };
    let pieces = (0..tokens).map(|offset| EngineEvent::Tokens {
        offset,
        pieces: vec![piece(offset)],
    });
    let finished = EngineEvent::Finished {
        reason: "length".to_owned(),
        total_tokens: tokens,
        cached_tokens: 0,
        ran: true,
    };
    let events = std::iter::once(accepted).chain(pieces).chain([finished]);
    Box::pin(stream::iter(events.map(Ok)))
}

fn finished() -> Result<EngineEvent, EngineError> {
    Ok(EngineEvent::Finished {
        reason: "length".to_owned(),
        total_tokens: TOKENS,
        cached_tokens: 0,
        ran: true,
    })
}

#[async_trait(?Send)]
impl Engine for FakeEngine {
    async fn generate(&self, base: &str, call: GenerateCall) -> Result<EventStream, EngineError> {
        self.calls
            .borrow_mut()
            .push((base.to_owned(), call.clone()));
        if self.immediate_tokens.get() > 0 {
            return Ok(immediate_answer(self.immediate_tokens.get()));
        }
        if self.crashed.borrow().iter().any(|crashed| crashed == base) {
            return Err(EngineError::Unreachable {
                reason: "connection refused".to_owned(),
            });
        }
        let script = self.next_script(base);
        let is_live = self.live_streams.borrow().contains(&call.attach_stream);
        if call.attach_only && !is_live {
            return Err(EngineError::Refused {
                status: 404,
                reason: "no such stream".to_owned(),
            });
        }
        if !call.attach_only && script.may_run() {
            self.runs.borrow_mut().push(call.request_id.clone());
        }
        match script {
            Script::Steps(steps) => Ok(self.open(&call, steps)),
            Script::Unreachable => Err(EngineError::Unreachable {
                reason: "connection refused".to_owned(),
            }),
            Script::Refuse(status) => Err(EngineError::Refused {
                status,
                reason: "as scripted".to_owned(),
            }),
            Script::LostAtCall => Err(EngineError::Lost {
                reason: "connection reset".to_owned(),
            }),
            Script::SilentAtCall => std::future::pending().await,
            Script::Crash => {
                self.crashed.borrow_mut().push(base.to_owned());
                Err(EngineError::Lost {
                    reason: "connection reset".to_owned(),
                })
            }
        }
    }

    async fn cancel(&self, _base: &str, stream: &str) -> Result<(), EngineError> {
        self.cancels.borrow_mut().push(stream.to_owned());
        Ok(())
    }

    async fn report(&self, base: &str) -> Result<EngineReport, EngineError> {
        self.status(base).await
    }

    async fn status(&self, base: &str) -> Result<EngineReport, EngineError> {
        self.statuses.set(self.statuses.get() + 1);
        if self.crashed.borrow().iter().any(|crashed| crashed == base) {
            return Err(EngineError::Unreachable {
                reason: "connection refused".to_owned(),
            });
        }
        let server = base.replace("http://", "");
        let mut report = report(&server, VERSION);
        report.accepting = !self.draining.borrow().contains(&server);
        Ok(report)
    }

    async fn cache_events(&self, _: &str, _: u64) -> Result<Vec<CacheEvent>, EngineError> {
        Ok(Vec::new())
    }

    async fn order(&self, _base: &str, _order: EngineOrder) -> Result<(), EngineError> {
        Ok(())
    }
}

pub type SharedEngine = Rc<FakeEngine>;
