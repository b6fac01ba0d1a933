//! A stream that may run only once, with a copy of its memory at a second server.
//!
//! The node passes events on, and learns of a broken connection; what became of the first server it learns from the
//! server's port alone. A server whose connection closes may go on working. The port of a server that ended is open
//! again once the server has started anew, which knows nothing of the run.

use derive_more::Display;

use crate::checker::Specification;

/// Events of the whole answer.
const EVENTS: u8 = 3;

/// Plausible mistakes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A broken connection is taken for the end of its server.
    BreakTrusted,
    /// Silence is taken for the end of the server.
    SilenceTrusted,
    /// Without a copy the request is sent again as a new one.
    SentAnew,
    /// The stream goes on after the last event of the copy, not after the last one passed on.
    AfterCopy,
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Continuation {
    /// The mistake to make; `None` for the protocol as it is.
    pub mutant: Option<Mutant>,
    /// Crashes, broken connections and silences in one run.
    pub faults: u8,
}

/// What a server does with the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Server {
    /// It does not know the request.
    Idle,
    /// It runs it, and has made this event.
    Works(u8),
    /// Its process has ended, and its port refuses connections.
    Ended,
}

/// What the node does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Node {
    /// It reads the answer of the first server.
    ReadsFirst,
    /// That answer broke off.
    Broken,
    /// It has asked the second server to go on after an event.
    Asked(u8),
    /// It reads the answer of the second server.
    ReadsSecond,
    /// It has passed the whole answer on.
    Done,
    /// It has cut the answer.
    Cut,
    /// Its process has ended.
    Dead,
}

/// State of both servers, the node and the caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    first: Server,
    silent: bool,
    second: Server,
    /// Last event that the copy holds.
    copy: Option<u8>,
    node: Node,
    /// Last event that the caller has.
    passed: u8,
    disordered: bool,
    began_anew: bool,
    faults: u8,
}

/// One step.
#[derive(Debug, Clone, Copy, Display)]
pub enum Action {
    /// The first server makes an event.
    #[display("the first server makes an event")]
    FirstMakes,
    /// The second server makes an event.
    #[display("the second server makes an event")]
    SecondMakes,
    /// The copy grows to what the first server has.
    #[display("the copy grows")]
    Copied,
    /// The node passes an event on.
    #[display("the node passes an event on")]
    Passed,
    /// The first server's process ends.
    #[display("the first server ends")]
    FirstEnds,
    /// It starts anew.
    #[display("the first server starts anew")]
    FirstStarts,
    /// The first server falls silent.
    #[display("the first server falls silent")]
    FirstSilent,
    /// The first server drops the run, since its caller has left.
    #[display("the first server drops the run")]
    FirstDrops,
    /// Only the connection to the first server breaks.
    #[display("the connection to the first server breaks")]
    Break,
    /// The second server ends and starts anew, without the copy.
    #[display("the second server starts anew")]
    SecondRestarts,
    /// The node looks at the port of the first server.
    #[display("the node looks at the first server's port")]
    Look,
    /// The second server answers.
    #[display("the second server answers")]
    Answer,
    /// The node's process ends.
    #[display("the node ends")]
    NodeEnds,
}

impl Continuation {
    fn trusts_silence(&self) -> bool {
        self.mutant == Some(Mutant::SilenceTrusted)
    }

    /// What the node does after its look at the port.
    fn looked(&self, state: &State) -> Node {
        let ended = state.first == Server::Ended;
        let trusted = match self.mutant {
            Some(Mutant::BreakTrusted) => true,
            Some(Mutant::SilenceTrusted) => state.silent,
            _ => false,
        };
        let after = match self.mutant {
            Some(Mutant::AfterCopy) => state.copy.unwrap_or(state.passed),
            _ => state.passed,
        };
        // Before the first event there is nothing to go on after.
        match (ended || trusted) && state.passed > 0 {
            true => Node::Asked(after),
            false => Node::Cut,
        }
    }

    /// What comes of the request to go on after an event.
    fn answered(&self, state: &mut State, after: u8) {
        match state.copy {
            Some(_) => {
                state.second = Server::Works(after);
                state.node = Node::ReadsSecond;
            }
            None if self.mutant == Some(Mutant::SentAnew) => {
                state.second = Server::Works(0);
                state.began_anew = true;
                state.node = Node::ReadsSecond;
            }
            None => state.node = Node::Cut,
        }
    }

    fn server_steps(state: &State, steps: &mut Vec<(Action, State)>) {
        if let Server::Works(made) = state.first {
            if made < EVENTS {
                let mut next = state.clone();
                next.first = Server::Works(made + 1);
                steps.push((Action::FirstMakes, next));
            }
            if state.copy != Some(made) && state.second == Server::Idle {
                let mut next = state.clone();
                next.copy = Some(made);
                steps.push((Action::Copied, next));
            }
            if state.node != Node::ReadsFirst {
                let mut next = state.clone();
                next.first = Server::Idle;
                steps.push((Action::FirstDrops, next));
            }
        }
        if let Server::Works(made) = state.second
            && made < EVENTS
        {
            let mut next = state.clone();
            next.second = Server::Works(made + 1);
            steps.push((Action::SecondMakes, next));
        }
        if state.first == Server::Ended {
            let mut next = state.clone();
            next.first = Server::Idle;
            steps.push((Action::FirstStarts, next));
        }
    }

    fn node_steps(&self, state: &State, steps: &mut Vec<(Action, State)>) {
        let read = match state.node {
            Node::ReadsFirst if !state.silent => Some(state.first),
            Node::ReadsSecond => Some(state.second),
            _ => None,
        };
        if let Some(Server::Works(made)) = read
            && made > state.passed
        {
            let mut next = state.clone();
            next.passed += 1;
            if next.passed == EVENTS {
                next.node = Node::Done;
                // The run is over at its server.
                match state.node {
                    Node::ReadsFirst => next.first = Server::Idle,
                    _ => next.second = Server::Idle,
                }
            }
            steps.push((Action::Passed, next));
        }
        let silent = state.node == Node::ReadsFirst && state.silent && self.trusts_silence();
        if state.node == Node::Broken || silent {
            let mut next = state.clone();
            next.node = self.looked(state);
            steps.push((Action::Look, next));
        }
        if let Node::Asked(after) = state.node {
            let mut next = state.clone();
            next.disordered |= after != state.passed;
            self.answered(&mut next, after);
            steps.push((Action::Answer, next));
        }
    }

    fn fault_steps(state: &State, steps: &mut Vec<(Action, State)>) {
        let mut faulty = state.clone();
        faulty.faults -= 1;
        if let Server::Works(_) = state.first {
            let mut next = faulty.clone();
            next.first = Server::Ended;
            next.silent = false;
            if state.node == Node::ReadsFirst {
                next.node = Node::Broken;
            }
            steps.push((Action::FirstEnds, next));
        }
        if state.node == Node::ReadsFirst {
            let mut next = faulty.clone();
            next.node = Node::Broken;
            steps.push((Action::Break, next));
            if !state.silent {
                let mut next = faulty.clone();
                next.silent = true;
                steps.push((Action::FirstSilent, next));
            }
        }
        if state.copy.is_some() {
            let mut next = faulty.clone();
            next.second = Server::Idle;
            next.copy = None;
            if state.node == Node::ReadsSecond {
                next.node = Node::Cut;
            }
            steps.push((Action::SecondRestarts, next));
        }
        if !matches!(state.node, Node::Done | Node::Cut | Node::Dead) {
            let mut next = faulty;
            next.node = Node::Dead;
            steps.push((Action::NodeEnds, next));
        }
    }
}

impl Specification for Continuation {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        State {
            first: Server::Works(0),
            silent: false,
            second: Server::Idle,
            copy: None,
            node: Node::ReadsFirst,
            passed: 0,
            disordered: false,
            began_anew: false,
            faults: self.faults,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Action, State)> {
        let mut steps = Vec::new();
        Self::server_steps(state, &mut steps);
        self.node_steps(state, &mut steps);
        if state.faults > 0 {
            Self::fault_steps(state, &mut steps);
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        let works = |server| matches!(server, Server::Works(_));
        let broken = [
            (
                state.began_anew,
                "the request began anew at the second server",
            ),
            (
                works(state.first) && works(state.second),
                "two servers work on one run",
            ),
            (state.disordered, "an event is missing or comes twice"),
        ];
        let found = broken.into_iter().find(|(broken, _)| *broken);
        found.map(|(_, promise)| promise.to_owned())
    }

    fn situations(&self, state: &State) -> Vec<&'static str> {
        let works = matches!(state.first, Server::Works(_));
        let continued = state.node == Node::ReadsSecond;
        let behind = state.copy.is_some_and(|copied| copied < state.passed);
        let seen = [
            ("continued", continued),
            (
                "continued from a copy behind the caller",
                continued && behind,
            ),
            (
                "whole after a continuation",
                state.node == Node::Done && state.first == Server::Ended,
            ),
            (
                "cut while its server works",
                works && state.node == Node::Cut,
            ),
            (
                "cut without a copy",
                state.node == Node::Cut && state.copy.is_none(),
            ),
            ("its node is gone", works && state.node == Node::Dead),
        ];
        let seen = seen.into_iter().filter(|(_, seen)| *seen);
        seen.map(|(name, _)| name).collect()
    }

    fn bounds(&self) -> String {
        format!("2 servers, {EVENTS} events, {} faults", self.faults)
    }
}
