//! Validates the values of a scenario. All problems are reported together.

use std::collections::BTreeSet;

use super::{Lengths, Scenario};

/// Returns the problems of a scenario, each with its key and cause.
pub fn problems(scenario: &Scenario) -> Vec<String> {
    let mut found = Problems::default();
    found.require(scenario.seconds > 0, "seconds", "must be greater than 0");
    found.zones(scenario);
    found.engine(scenario);
    found.load(scenario);
    found.require(
        (1..100).contains(&scenario.policy.static_split_percent),
        "policy.static_split_percent",
        "must be between 1 and 99",
    );
    found.lines
}

#[derive(Default)]
struct Problems {
    lines: Vec<String>,
}

impl Problems {
    fn require(&mut self, holds: bool, key: &str, cause: &str) {
        if !holds {
            self.lines.push(format!("{key}: {cause}"));
        }
    }

    fn zones(&mut self, scenario: &Scenario) {
        self.require(!scenario.zones.is_empty(), "zones", "must not be empty");
        let mut names = BTreeSet::new();
        for (index, zone) in scenario.zones.iter().enumerate() {
            let key = |field: &str| format!("zones[{index}].{field}");
            self.require(names.insert(&zone.name), &key("name"), "must be unique");
            self.require(zone.nodes > 0, &key("nodes"), "must be greater than 0");
        }
        self.require(scenario.server_count() > 0, "zones", "must have a server");
        self.require(scenario.sidecar_count() > 0, "zones", "must have a sidecar");
    }

    fn engine(&mut self, scenario: &Scenario) {
        let engine = &scenario.engine;
        let positive = [
            ("engine.base_ms", engine.base_ms),
            ("engine.slow_step_factor", engine.slow_step_factor),
            (
                "engine.maximum_sequences",
                f64::from(engine.maximum_sequences),
            ),
            (
                "engine.maximum_prefill_tokens",
                f64::from(engine.maximum_prefill_tokens),
            ),
            ("engine.memory_tokens", f64::from(engine.memory_tokens)),
            ("engine.block_tokens", f64::from(engine.block_tokens)),
        ];
        for (key, value) in positive {
            self.require(value > 0.0, key, "must be greater than 0");
        }
        let not_negative = [
            ("engine.noise_sigma", engine.noise_sigma),
            ("engine.per_sequence_ms", engine.per_sequence_ms),
            ("engine.per_prefill_token_ms", engine.per_prefill_token_ms),
        ];
        for (key, value) in not_negative {
            self.require(value >= 0.0, key, "must not be negative");
        }
    }

    fn load(&mut self, scenario: &Scenario) {
        let (online, batch) = (&scenario.online, &scenario.batch);
        self.require(
            online.busy_per_s > 0.0,
            "online.busy_per_s",
            "must be greater than 0",
        );
        self.require(
            online.quiet_per_s > 0.0,
            "online.quiet_per_s",
            "must be greater than 0",
        );
        self.require(
            online.busy_s > 0.0,
            "online.busy_s",
            "must be greater than 0",
        );
        self.require(
            online.quiet_s > 0.0,
            "online.quiet_s",
            "must be greater than 0",
        );
        self.require(
            online.sessions > 0,
            "online.sessions",
            "must be greater than 0",
        );
        self.require(online.topics > 0, "online.topics", "must be greater than 0");
        self.require(
            batch.every_s > 0.0,
            "batch.every_s",
            "must be greater than 0",
        );
        self.require(
            !batch.tenants.is_empty(),
            "batch.tenants",
            "must not be empty",
        );
        self.require(batch.items > 1, "batch.items", "must be greater than 1");
        self.lengths("online.prompt", &online.prompt);
        self.lengths("online.output", &online.output);
        self.lengths("batch.prompt", &batch.prompt);
        self.lengths("batch.output", &batch.output);
    }

    fn lengths(&mut self, key: &str, lengths: &Lengths) {
        self.require(lengths.median > 0.0, key, "median must be greater than 0");
        self.require(lengths.sigma >= 0.0, key, "sigma must not be negative");
        self.require(lengths.least > 0, key, "least must be greater than 0");
        self.require(
            lengths.least <= lengths.most,
            key,
            "least must not exceed most",
        );
    }
}
