//! A simulated fleet in virtual time: nodes with a ledger each, model servers that crash on guilty prompt parts, and callers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_crashes::{
    Feature, Fingerprint, LONG_RUN, Ledger, Permit, PromptPartId, RequestFeatures, RequestParts,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const NODES: usize = 8;
const SERVERS: usize = 24;
/// One step of the simulation; also the interval at which nodes exchange news.
const STEP: Duration = Duration::from_millis(25);
/// Time from sending news to its arrival.
const NEWS_STEPS: usize = 1;
/// Steps between repeats of news.
const REFRESH_STEPS: usize = 18;
const SECONDS: u32 = 20;
/// When requests with guilty parts and losses of servers begin.
const TROUBLE_S: f64 = 4.0;
const REQUESTS_PER_STEP: usize = 3;
/// Probability of a request with a guilty part in a step.
const GUILTY_PER_STEP: f64 = 0.3;
/// Common first parts, and rarer second parts.
const FIRST_PARTS: u64 = 4;
const SECOND_PARTS: u64 = 40;
/// Identifiers of guilty parts begin here.
const GUILTY: u64 = 1_000;
/// Time from the begin of a run to its first output, which crashes the server on a guilty part.
const PREFILL: Duration = Duration::from_millis(80);
const DOWNTIME: Duration = Duration::from_secs(3);
/// Servers lost at once for another reason, and the time between such losses.
const SERVERS_PER_LOSS: usize = 4;
const LOSS_INTERVAL: Duration = Duration::from_millis(600);
/// The rule for further runs holds from this time after the fifth crash.
const CONTACT: Duration = Duration::from_secs(3);
const ENDS_BEFORE_RULE: usize = 5;

pub struct Traffic {
    pub guilty_parts: u64,
    /// Whether a guilty part stands first in its prompts.
    pub guilty_first: bool,
    /// Losses of several servers for another reason.
    pub losses: u32,
}

impl Default for Traffic {
    fn default() -> Self {
        Self {
            guilty_parts: 1,
            guilty_first: false,
            losses: 0,
        }
    }
}

#[derive(Debug, Default)]
pub struct Report {
    pub guilty_parts: usize,
    /// Servers that crashed on guilty parts.
    pub crashed: usize,
    /// Most runs with one guilty part that began later than allowed.
    pub late_runs: usize,
    /// Prompt parts that some node refused at the end.
    pub refused_parts: usize,
    /// Sound requests and those that began at once, before the trouble and late in it.
    pub before: (usize, usize),
    pub during: (usize, usize),
}

impl Report {
    /// Share of sound requests that begin at once during the trouble, relative to the time before it.
    pub fn sound_share(&self) -> f64 {
        let share = |(sent, begun): (usize, usize)| begun as f64 / sent.max(1) as f64;
        share(self.during) / share(self.before)
    }
}

struct Run {
    node: usize,
    server: usize,
    features: RequestFeatures,
    guilty: Option<u64>,
    began: Instant,
    ends: Instant,
    ran_long: bool,
    may_retry: bool,
}

pub struct Fleet {
    random: StdRng,
    nodes: Vec<Ledger>,
    /// Number of starts of each server, and until when it is down.
    servers: Vec<(u32, Instant)>,
    runs: Vec<Run>,
    /// Requests that may not begin yet: node, features, guilty part, and whether they are retried.
    waiting: Vec<(usize, RequestFeatures, Option<u64>, bool)>,
    now: Instant,
    sent: u64,
    report: Report,
    crashes: BTreeMap<u64, Vec<Instant>>,
    guilty_begins: BTreeMap<u64, Vec<Instant>>,
}

impl Fleet {
    pub fn new(seed: u64) -> Self {
        let now = Instant::now();
        Self {
            random: StdRng::seed_from_u64(seed),
            nodes: (0..NODES as u64).map(Ledger::new).collect(),
            servers: vec![(0, now); SERVERS],
            runs: Vec::new(),
            waiting: Vec::new(),
            now,
            sent: 0,
            report: Report::default(),
            crashes: BTreeMap::new(),
            guilty_begins: BTreeMap::new(),
        }
    }

    pub fn run(mut self, traffic: &Traffic) -> Report {
        let begun = self.now;
        let trouble = begun + Duration::from_secs_f64(TROUBLE_S);
        let mut news = Vec::new();
        let mut losses = 0;
        let steps = SECONDS as usize * 1_000 / STEP.as_millis() as usize;
        for step in 0..steps {
            self.now += STEP;
            self.finish_runs();
            self.begin_waiting();
            for _ in 0..REQUESTS_PER_STEP {
                self.send_sound(trouble);
            }
            for part in 0..traffic.guilty_parts {
                if self.now >= trouble && self.random.random_bool(GUILTY_PER_STEP) {
                    self.send_guilty(GUILTY + part, traffic.guilty_first);
                }
            }
            if losses < traffic.losses && self.now >= trouble + LOSS_INTERVAL * losses {
                losses += 1;
                self.lose_servers();
            }
            news.push(self.collect_news(step % REFRESH_STEPS == 0));
            if news.len() > NEWS_STEPS {
                self.deliver(news.remove(0));
            }
        }
        self.report(traffic)
    }

    fn collect_news(&mut self, refresh: bool) -> Vec<Vec<dappleyard_crashes::CrashRecord>> {
        let now = self.now;
        let nodes = self.nodes.iter_mut();
        nodes
            .map(|node| node.updates(refresh, 24, now).records)
            .collect()
    }

    fn deliver(&mut self, news: Vec<Vec<dappleyard_crashes::CrashRecord>>) {
        for (sender, records) in news.iter().enumerate() {
            for (at, node) in self.nodes.iter_mut().enumerate() {
                if at != sender {
                    for record in records {
                        node.merge(record.clone(), false, self.now);
                    }
                }
            }
        }
    }

    fn features(&mut self, parts: &[u64]) -> RequestFeatures {
        self.sent += 1;
        let fingerprint = Fingerprint::of(&RequestParts {
            caller: "",
            method: "POST",
            host: "shop.example",
            target: "/chat/x",
            body: &self.sent.to_be_bytes(),
        });
        RequestFeatures::new(fingerprint, parts.iter().map(|part| PromptPartId(*part)))
    }

    fn send_sound(&mut self, trouble: Instant) {
        let first = self.random.random_range(0..FIRST_PARTS);
        let second = 100 + self.random.random_range(0..SECOND_PARTS);
        let features = self.features(&[first, second]);
        let began = self.begin(features, None, true);
        // What is under way when the trouble begins is not judged.
        let count = match self.now {
            now if now < trouble => &mut self.report.before,
            now if now > trouble + 2 * CONTACT => &mut self.report.during,
            _ => return,
        };
        count.0 += 1;
        count.1 += usize::from(began);
    }

    fn send_guilty(&mut self, part: u64, guilty_first: bool) {
        let other = match guilty_first {
            true => 100 + self.random.random_range(0..SECOND_PARTS),
            false => self.random.random_range(0..FIRST_PARTS),
        };
        let parts = match guilty_first {
            true => [part, other],
            false => [other, part],
        };
        let features = self.features(&parts);
        self.begin(features, Some(part), true);
    }

    /// Begins a run at a node and a server drawn at random; returns whether it began at once.
    fn begin(&mut self, features: RequestFeatures, guilty: Option<u64>, may_retry: bool) -> bool {
        let node = self.random.random_range(0..NODES);
        self.begin_at(node, features, guilty, may_retry)
    }

    /// Begins a run at a node, or lets the request wait there.
    fn begin_at(
        &mut self,
        node: usize,
        features: RequestFeatures,
        guilty: Option<u64>,
        may_retry: bool,
    ) -> bool {
        let up = self.servers_up();
        if up.is_empty() {
            return false;
        }
        let server = up[self.random.random_range(0..up.len())];
        let name = self.name(server);
        match self.nodes[node].begin(&features, &name, self.now) {
            Permit::Free | Permit::LastRun => {}
            Permit::Wait => {
                let waiting = (node, features, guilty, may_retry);
                self.waiting.push(waiting);
                return false;
            }
            Permit::Refused => return false,
        }
        if let Some(part) = guilty {
            self.guilty_begins.entry(part).or_default().push(self.now);
        }
        let lasts = match guilty {
            Some(_) => PREFILL,
            None => Duration::from_millis(self.random.random_range(150..1_600)),
        };
        self.runs.push(Run {
            node,
            server,
            features,
            guilty,
            began: self.now,
            ends: self.now + lasts,
            ran_long: false,
            may_retry,
        });
        true
    }

    fn servers_up(&self) -> Vec<usize> {
        let all = 0..SERVERS;
        all.filter(|server| self.servers[*server].1 <= self.now)
            .collect()
    }

    fn begin_waiting(&mut self) {
        for (node, features, guilty, may_retry) in std::mem::take(&mut self.waiting) {
            self.begin_at(node, features, guilty, may_retry);
        }
    }

    fn name(&self, server: usize) -> String {
        format!("i-{server}.{}", self.servers[server].0)
    }

    fn finish_runs(&mut self) {
        let due = |run: &Run, now: Instant| run.ends <= now;
        let crashing: Vec<(usize, u64)> = self
            .runs
            .iter()
            .filter(|run| due(run, self.now))
            .filter_map(|run| Some((run.server, run.guilty?)))
            .collect();
        for (server, part) in crashing {
            if self.servers[server].1 <= self.now {
                self.crashes.entry(part).or_default().push(self.now);
                self.end_server(server);
            }
        }
        let (done, running): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| due(run, self.now));
        self.runs = running;
        for run in done {
            let name = self.name(run.server);
            self.nodes[run.node].end(&run.features, &name, self.now);
            self.nodes[run.node].note_served(&run.features, self.now);
        }
        for run in &mut self.runs {
            let output_for = self.now.saturating_duration_since(run.began + PREFILL);
            if !run.ran_long && output_for >= LONG_RUN {
                run.ran_long = true;
                self.nodes[run.node].note_long_run(&run.features, self.now);
            }
        }
    }

    /// Ends a server and the runs on it; each run is retried once.
    fn end_server(&mut self, server: usize) {
        let name = self.name(server);
        let (broken, others): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.server == server);
        self.runs = others;
        self.servers[server] = (self.servers[server].0 + 1, self.now + DOWNTIME);
        for run in broken {
            let output = self.now.checked_duration_since(run.began + PREFILL);
            let output = output.filter(|output| !output.is_zero() && run.guilty.is_none());
            let node = &mut self.nodes[run.node];
            node.note_ended(&run.features, &name, output, self.now);
            node.end(&run.features, &name, self.now);
            if run.may_retry {
                self.begin(run.features, run.guilty, false);
            }
        }
    }

    fn lose_servers(&mut self) {
        for _ in 0..SERVERS_PER_LOSS {
            let server = self.random.random_range(0..SERVERS);
            if self.servers[server].1 <= self.now {
                self.end_server(server);
            }
        }
    }

    fn report(mut self, traffic: &Traffic) -> Report {
        let late = self.guilty_begins.iter();
        let late = late.filter_map(|(part, begins)| late_runs(&self.crashes, part, begins));
        self.report.late_runs = late.max().unwrap_or(0);
        self.report.crashed = self.crashes.values().map(Vec::len).sum();
        self.report.guilty_parts = traffic.guilty_parts as usize;
        let refused: BTreeSet<Feature> = self
            .nodes
            .iter()
            .flat_map(|node| node.refused(self.now).0)
            .map(|refused| refused.feature)
            .filter(|feature| matches!(feature, Feature::PromptPart(_)))
            .collect();
        self.report.refused_parts = refused.len();
        self.report
    }
}

/// Runs with a part that began later than allowed after its fifth crash; `None` if fewer servers crashed.
fn late_runs(
    crashes: &BTreeMap<u64, Vec<Instant>>,
    part: &u64,
    begins: &[Instant],
) -> Option<usize> {
    let fifth = *crashes.get(part)?.get(ENDS_BEFORE_RULE - 1)?;
    let late = begins.iter().filter(|at| **at > fifth + CONTACT);
    Some(late.count())
}
