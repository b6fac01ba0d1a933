//! The records and questions of a node, shared by its threads.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_model::RunOrigin;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::key::StreamKey;
use crate::ledger::StreamLedger;
use crate::messages::{StreamAnswers, StreamNews, StreamQuestion};
use crate::questions::{Answer, Questions};

/// Longest wait for the answers of other nodes. It covers a round trip to another region and the resends of a lost
/// question.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// What other nodes know of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Asked {
    pub answers: Vec<Answer>,
    /// Whether a record was found or all nodes that are alive have answered.
    pub complete: bool,
}

/// Shared records and questions. The two locks are never held together or across an await.
#[derive(Default)]
pub struct StreamTable {
    ledger: Mutex<StreamLedger>,
    questions: Mutex<Questions>,
    /// Whether streams that begin are told to other nodes at once.
    telling: AtomicBool,
    /// Notified of a stream to tell of.
    begun: Notify,
    /// Notified of a new question.
    asked: Notify,
}

impl StreamTable {
    /// Notes a stream that began at this node and may be resumed for `lifetime`.
    pub fn note_begun(&self, stream: StreamKey, origin: &RunOrigin, lifetime: Duration) {
        let now = Instant::now();
        self.ledger.lock().note_begun(stream, origin, lifetime, now);
        if self.telling.load(Ordering::Relaxed) {
            self.begun.notify_one();
        }
    }

    /// Sets whether streams that begin are told to other nodes at once.
    pub fn set_telling(&self, telling: bool) {
        self.telling.store(telling, Ordering::Relaxed);
    }

    /// Waits for streams to tell of.
    pub async fn wait_for_begun(&self) {
        self.begun.notified().await;
    }

    /// Where a stream began, if this node knows.
    pub fn find(&self, stream: StreamKey) -> Option<RunOrigin> {
        self.ledger.lock().find(stream)
    }

    /// Notes the streams of which another node told.
    pub fn learn(&self, news: StreamNews) {
        self.ledger.lock().learn(news, Instant::now());
    }

    /// Services with streams of which no other node was told.
    pub fn untold_services(&self) -> Vec<String> {
        self.ledger.lock().untold_services()
    }

    /// Takes up to `limit` streams of a service to tell others of.
    pub fn take_untold(
        &self,
        service: &str,
        limit: usize,
    ) -> Vec<(StreamKey, RunOrigin, Duration)> {
        self.ledger
            .lock()
            .take_untold(service, limit, Instant::now())
    }

    /// Asks other nodes where a stream began; without a stream, which versions its service has had.
    pub async fn ask(&self, stream: Option<StreamKey>, service: &str) -> Asked {
        let (number, done) = self.questions.lock().open(stream, service);
        let question = QuestionGuard {
            table: self,
            number,
        };
        self.asked.notify_one();
        // After the timeout the answers so far are used.
        let _ = dappleyard_clock::timeout(ANSWER_TIMEOUT, done.notified()).await;
        let (answers, complete) = question.close();
        Asked { answers, complete }
    }

    /// Waits for questions.
    pub async fn wait_for_questions(&self) {
        self.asked.notified().await;
    }

    /// Whether a question has to be sent.
    pub fn has_questions(&self) -> bool {
        self.questions.lock().has_unsent()
    }

    /// The questions to send now.
    pub fn take_questions(&self) -> Vec<StreamQuestion> {
        self.questions.lock().take_unsent()
    }

    /// Notes which nodes are expected to answer a question.
    pub fn note_sent(&self, number: u32, awaited: HashSet<SocketAddr>) {
        self.questions.lock().note_sent(number, awaited);
    }

    /// Notes the answers of a node.
    pub fn note_answers(&self, answers: StreamAnswers, sender: SocketAddr) {
        let mut questions = self.questions.lock();
        for answer in answers.answers {
            questions.note_answer(answer, sender);
        }
    }

    /// Drops expired records.
    pub fn sweep(&self) {
        self.ledger.lock().sweep(Instant::now());
    }

    /// Number of records.
    pub fn record_count(&self) -> usize {
        self.ledger.lock().len()
    }
}

/// Closes a question when its caller leaves.
struct QuestionGuard<'a> {
    table: &'a StreamTable,
    number: u32,
}

impl QuestionGuard<'_> {
    fn close(&self) -> (Vec<Answer>, bool) {
        self.table.questions.lock().close(self.number)
    }
}

impl Drop for QuestionGuard<'_> {
    fn drop(&mut self) {
        self.close();
    }
}
