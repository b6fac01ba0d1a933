//! Admission of calls: attaches to a stream, rejects, or queues a new sequence.

use std::sync::Arc;

use dappleyard_engine::{GenerateCall, Priority};

use super::{Effect, EngineModel, Refusal, Started, parse_stream};
use crate::engine::record::RunRecord;
use crate::engine::sequence::{Sequence, insert_ordered};
use crate::text::TextSource;

impl EngineModel {
    /// Queues a new sequence for a call, or attaches the call to the stream that it names.
    pub fn generate(
        &mut self,
        now_us: u64,
        call: &GenerateCall,
        effects: &mut Vec<Effect>,
    ) -> Result<Started, Refusal> {
        self.catch_up(now_us);
        if let Some(stream) = parse_stream(&call.attach_stream)
            && let Some(started) = self.attach(stream, call, effects)
        {
            return Ok(started);
        }
        if call.attach_only {
            return Err(Refusal::new(404, "no such stream to attach to"));
        }
        self.check(call)?;
        Ok(self.begin(now_us, call))
    }

    fn check(&self, call: &GenerateCall) -> Result<(), Refusal> {
        if !self.accepting {
            return Err(Refusal::new(503, "the engine takes no new work"));
        }
        let Some(model) = &self.model else {
            return Err(Refusal::new(503, "the engine is loading a model"));
        };
        if model.service != call.service {
            return Err(Refusal::new(404, "the engine does not carry this service"));
        }
        if !call.version.is_empty() && model.version != call.version {
            return Err(Refusal::new(404, "the engine does not carry this version"));
        }
        if !call.adapter.is_empty() && !model.adapters.contains(&call.adapter) {
            return Err(Refusal::new(404, "the engine does not carry this adapter"));
        }
        let tokens = u64::from(call.prompt_tokens) + u64::from(call.max_tokens);
        // A running sequence also needs space for its next token.
        let room = u64::from(self.memory.total()) * u64::from(self.settings.block_tokens);
        if tokens + 1 > room {
            return Err(Refusal::new(400, "prompt and answer do not fit the memory"));
        }
        if call.resume_offset > call.max_tokens {
            return Err(Refusal::new(400, "the answer ends before the offset"));
        }
        if self.waiting.len() >= self.settings.maximum_waiting as usize {
            return Err(Refusal::new(429, "too many sequences wait"));
        }
        Ok(())
    }

    fn begin(&mut self, now_us: u64, call: &GenerateCall) -> Started {
        let text = TextSource::new(&self.version, &call.prompt);
        let (target, reason) = text.end(call.max_tokens);
        let produced = call.resume_offset.min(target);
        let stream = self.next_stream;
        self.next_stream += 1;
        let request_id: Arc<str> = Arc::from(call.request_id.as_str());
        let online = call.priority > Priority::BATCH;
        if online {
            let others = self.online_count();
            self.meter.online_arrived(now_us, others);
        }
        let record = self.records.add(RunRecord {
            server: self.server.clone(),
            request_id: request_id.clone(),
            attempt: call.attempt,
            stream,
            online,
            priority: call.priority.0,
            arrived_us: now_us,
            started_us: None,
            first_token_us: None,
            ended_us: None,
            end: None,
            from: produced,
            to: produced,
            resumed: call.resume_offset > 0,
            attached: 0,
            preempted: 0,
            steps_behind_batch: 0,
            version: self.version.clone(),
        });
        let prompt_tokens = call.prompt_tokens.max(1);
        let prefix_tokens = call.prefix_tokens.min(prompt_tokens);
        let sequence = Sequence {
            stream,
            request_id,
            priority: self.scheduling_priority(call.priority),
            online,
            text,
            prompt_tokens,
            prefix_key: call.prefix_hash,
            prefix_blocks: prefix_tokens / self.settings.block_tokens.max(1),
            target,
            reason,
            from: produced,
            produced,
            emitted: produced,
            streaming: call.stream,
            prefill_left: 0,
            prefill_now: 0,
            cached_tokens: 0,
            own_blocks: 0,
            pinned_blocks: 0,
            holds_pin: false,
            ran: false,
            record,
            detached_at: None,
        };
        insert_ordered(&mut self.waiting, sequence);
        Started {
            stream,
            version: self.version.clone(),
            text,
        }
    }

    fn scheduling_priority(&self, priority: Priority) -> Priority {
        if self.settings.ignore_priority {
            Priority::BATCH
        } else {
            priority
        }
    }
}
