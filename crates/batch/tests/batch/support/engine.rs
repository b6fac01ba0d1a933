//! Fake engine that generates one token per step for each stream and records its runs.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use dappleyard_engine::{
    CacheEvent, Engine, EngineError, EngineEvent, EngineOrder, EngineReport, EventStream,
    GenerateCall, LoadedModel,
};

/// Duration of a step.
pub const STEP_TIME: Duration = Duration::from_millis(4);

/// Record of a run on an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    pub base: String,
    pub request_id: String,
    pub attempt: u32,
    pub resume_offset: u32,
}

#[derive(Default)]
pub struct FakeEngine {
    pub runs: RefCell<Vec<Run>>,
    pub running: RefCell<BTreeMap<String, u32>>,
    pub peak_running: RefCell<BTreeMap<String, u32>>,
    pub cancelled: RefCell<BTreeSet<String>>,
    /// Engines that are down: streams end with an error and calls are refused.
    pub dead: RefCell<BTreeSet<String>>,
    /// A prompt that contains this text crashes the engine, which recovers after a second.
    pub crash_prompt: RefCell<Option<String>>,
    /// Number of crashes.
    pub crashes: Cell<u32>,
    next_stream: Cell<u64>,
}

impl FakeEngine {
    pub fn new() -> Rc<FakeEngine> {
        Rc::default()
    }

    pub fn running_on(&self, base: &str) -> u32 {
        self.running.borrow().get(base).copied().unwrap_or(0)
    }

    pub fn runs_of(&self, request_id: &str) -> usize {
        let runs = self.runs.borrow();
        runs.iter()
            .filter(|run| run.request_id == request_id)
            .count()
    }

    fn crash(self: &Rc<Self>, base: &str) {
        self.crashes.set(self.crashes.get() + 1);
        self.dead.borrow_mut().insert(base.to_owned());
        let (engine, base) = (self.clone(), base.to_owned());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_secs(1)).await;
            engine.dead.borrow_mut().remove(&base);
        });
    }

    fn begin(&self, base: &str) {
        let mut running = self.running.borrow_mut();
        let count = running.entry(base.to_owned()).or_insert(0);
        *count += 1;
        let mut peak_running = self.peak_running.borrow_mut();
        let most = peak_running.entry(base.to_owned()).or_insert(0);
        *most = (*most).max(*count);
    }

    fn end(&self, base: &str) {
        if let Some(count) = self.running.borrow_mut().get_mut(base) {
            *count -= 1;
        }
    }

    pub fn report(server: &str) -> EngineReport {
        EngineReport {
            server: server.to_owned(),
            sequence: 1,
            age_ms: 0,
            model: Some(LoadedModel {
                service: "llm".to_owned(),
                version: "v1".to_owned(),
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
}

/// Text of the token at an offset of the response to a prompt.
pub fn token_text(prompt: &str, offset: u32) -> String {
    format!(" {}.{offset}", prompt.len())
}

pub struct EngineClient(pub Rc<FakeEngine>);

#[async_trait(?Send)]
impl Engine for EngineClient {
    async fn generate(&self, base: &str, call: GenerateCall) -> Result<EventStream, EngineError> {
        // The run is recorded before the first await: a request that was sent reaches the engine
        // even if the sender is suspended.
        let engine = self.0.clone();
        if engine.dead.borrow().contains(base) {
            return Err(EngineError::Unreachable {
                reason: "dead".to_owned(),
            });
        }
        let crash_prompt = engine.crash_prompt.borrow().clone();
        if crash_prompt.is_some_and(|text| call.prompt.contains(&text)) {
            engine.crash(base);
            return Err(EngineError::Lost {
                reason: "connection reset".to_owned(),
            });
        }
        let base = base.to_owned();
        let stream = format!("stream-{}", engine.next_stream.get());
        engine.next_stream.set(engine.next_stream.get() + 1);
        engine.runs.borrow_mut().push(Run {
            base: base.clone(),
            request_id: call.request_id.clone(),
            attempt: call.attempt,
            resume_offset: call.resume_offset,
        });
        engine.begin(&base);
        tokio::time::sleep(Duration::from_millis(1)).await;
        Ok(Box::pin(async_stream::stream! {
            let _running = RunningGuard { engine: engine.clone(), base: base.clone() };
            yield Ok(EngineEvent::Accepted { stream: stream.clone(), version: "v1".to_owned() });
            let mut total = call.resume_offset;
            let mut reason = "length";
            while total < call.max_tokens {
                tokio::time::sleep(STEP_TIME).await;
                if engine.dead.borrow().contains(&base) {
                    yield Err(EngineError::Lost { reason: "dead".to_owned() });
                    return;
                }
                total += 1;
                if engine.cancelled.borrow().contains(&stream) {
                    reason = "cancelled";
                    break;
                }
            }
            let pieces = (call.resume_offset..total)
                .map(|offset| token_text(&call.prompt, offset))
                .collect();
            yield Ok(EngineEvent::Tokens { offset: call.resume_offset, pieces });
            yield Ok(EngineEvent::Finished {
                reason: reason.to_owned(),
                total_tokens: total,
                cached_tokens: 0,
                ran: true,
            });
        }))
    }

    async fn cancel(&self, _base: &str, stream: &str) -> Result<(), EngineError> {
        tokio::time::sleep(Duration::from_millis(1)).await;
        self.0.cancelled.borrow_mut().insert(stream.to_owned());
        Ok(())
    }

    async fn report(&self, base: &str) -> Result<EngineReport, EngineError> {
        Ok(FakeEngine::report(base))
    }

    async fn status(&self, base: &str) -> Result<EngineReport, EngineError> {
        if self.0.dead.borrow().contains(base) {
            return Err(EngineError::Unreachable {
                reason: "connection refused".to_owned(),
            });
        }
        Ok(FakeEngine::report(base))
    }

    async fn cache_events(&self, _base: &str, _after: u64) -> Result<Vec<CacheEvent>, EngineError> {
        Ok(Vec::new())
    }

    async fn order(&self, _base: &str, _order: EngineOrder) -> Result<(), EngineError> {
        Ok(())
    }
}

struct RunningGuard {
    engine: Rc<FakeEngine>,
    base: String,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.engine.end(&self.base);
    }
}
