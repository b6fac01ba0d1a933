//! Test harness that drives an engine state machine in virtual time.

use dappleyard_engine::{EngineOrder, GenerateCall, OrderKind, Priority};
use dappleyard_standin::engine::{
    Effect, EngineModel, EngineModelSettings, EngineSpec, Output, Started,
};
use googletest::prelude::*;

/// An engine with its clock and the effects it has produced.
pub struct EngineHarness {
    pub engine: EngineModel,
    pub now_us: u64,
    pub due_us: Option<u64>,
    pub effects: Vec<Effect>,
}

pub fn settings() -> EngineModelSettings {
    EngineModelSettings {
        noise_sigma: 0.0,
        slow_step_share: 0.0,
        ..EngineModelSettings::default()
    }
}

pub fn harness(model: EngineModelSettings) -> EngineHarness {
    let spec = EngineSpec {
        server: "server-1".to_owned(),
        service: "yard-assist".to_owned(),
        version: "v1".to_owned(),
        adapters: Vec::new(),
        model,
        seed: 7,
    };
    EngineHarness {
        engine: EngineModel::new(&spec, 0, 1),
        now_us: 0,
        due_us: None,
        effects: Vec::new(),
    }
}

impl EngineHarness {
    pub fn start(&mut self, call: &GenerateCall) -> Started {
        let started = self
            .engine
            .generate(self.now_us, call, &mut self.effects)
            .expect("call accepted");
        self.due_us = self.engine.advance(self.now_us, &mut self.effects);
        started
    }

    /// Advances to the end of the current step; `false` if there is none.
    pub fn step(&mut self) -> bool {
        let Some(due_us) = self.due_us else {
            return false;
        };
        self.now_us = due_us;
        self.due_us = self.engine.advance(due_us, &mut self.effects);
        expect_true!(self.engine.memory_is_consistent());
        true
    }

    pub fn steps(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step();
        }
    }

    pub fn run_until_idle(&mut self) {
        while self.step() {}
    }

    pub fn order(&mut self, epoch: u64, sequence: u64, kind: OrderKind) -> bool {
        let order = EngineOrder {
            epoch,
            sequence,
            kind,
        };
        let applied = self.engine.order(self.now_us, &order).is_ok();
        self.due_us = self.engine.advance(self.now_us, &mut self.effects);
        applied
    }

    /// Outputs sent to a stream so far.
    pub fn outputs(&self, stream: u64) -> Vec<Output> {
        let of_stream = self.effects.iter().filter(|effect| effect.stream == stream);
        of_stream.map(|effect| effect.output.clone()).collect()
    }

    pub fn cached_tokens_of(&self, stream: u64) -> Option<u32> {
        self.outputs(stream)
            .into_iter()
            .find_map(|output| match output {
                Output::Finished { cached, .. } => Some(cached),
                Output::Tokens { .. } => None,
            })
    }
}

/// A call whose answer runs to its token limit.
pub fn call(name: &str, prompt_tokens: u32, max_tokens: u32, priority: Priority) -> GenerateCall {
    let endings = (0..).map(|number| format!("{name} {number}"));
    let prompt = endings
        .into_iter()
        .find(|prompt| {
            let source = dappleyard_standin::text::TextSource::new("v1", prompt);
            source.end(max_tokens).1 == "length"
        })
        .expect("most answers run to the limit");
    GenerateCall {
        request_id: name.to_owned(),
        attempt: 1,
        service: "yard-assist".to_owned(),
        version: String::new(),
        adapter: String::new(),
        prompt,
        prompt_tokens,
        prefix_hash: 0,
        prefix_tokens: 0,
        max_tokens,
        priority,
        resume_offset: 0,
        attach_stream: String::new(),
        attach_only: false,
        stream: true,
    }
}

pub fn with_prefix(mut call: GenerateCall, hash: u64, tokens: u32) -> GenerateCall {
    call.prefix_hash = hash;
    call.prefix_tokens = tokens;
    call
}
