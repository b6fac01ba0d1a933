//! Fleet of nodes that share a platform and engines.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_batch::{BatchContext, BatchHandle, JobsApi, start};
use dappleyard_settings::BatchSettings;
use dappleyard_tables::directory::ServerEntry;
use dappleyard_tables::{Identity, Lifecycle, NodeTables};
use dappleyard_wire::Failure;
use dappleyard_wire::messages::{
    Call, FileAppend, FileCreate, FileRead, FileSeal, JobCancel, JobGet, JobPhase, JobState,
    JobSubmit, Member, MemberState, Repeat, call, reply,
};

use super::engine::{EngineClient, FakeEngine};
use super::platform::FakePlatform;

pub const TENANT: &str = "yard";
pub const CHAT: &str = "/v1/chat/completions";

pub struct Node {
    pub name: String,
    pub tables: Arc<NodeTables>,
    pub api: Rc<JobsApi>,
    pub handle: Option<BatchHandle>,
}

pub struct Fleet {
    pub platform: Rc<FakePlatform>,
    pub engine: Rc<FakeEngine>,
    pub settings: BatchSettings,
    pub nodes: Vec<Node>,
}

impl Fleet {
    /// Starts nodes that own one server each.
    pub fn start(count: usize, settings: BatchSettings) -> Fleet {
        let mut fleet = Fleet {
            platform: FakePlatform::new(),
            engine: FakeEngine::new(),
            settings,
            nodes: Vec::new(),
        };
        for index in 0..count {
            fleet.add_node(index);
        }
        fleet
    }

    /// Adds a node and updates the member tables of all nodes.
    pub fn add_node(&mut self, index: usize) {
        self.add_isolated_node(index);
        self.update_members();
    }

    /// Adds a node with an empty member table, of which the other nodes do not know.
    pub fn add_isolated_node(&mut self, index: usize) {
        let name = format!("node-{index}");
        let tables = NodeTables::new(Identity {
            node: name.as_str().into(),
            zone: "z".into(),
            region: "r".into(),
            incarnation: 1 << 16,
        });
        tables.lifecycle.send_replace(Lifecycle::Ready);
        let server = format!("server-{index}");
        tables.servers.set_owned(vec![ServerEntry {
            server: server.as_str().into(),
            service: "llm".into(),
            region: "r".into(),
            zone: "z".into(),
            hall: "z".to_owned(),
            base_url: format!("http://{server}"),
            leaving: false,
            owner: Some(name.as_str().into()),
        }]);
        let now = tables.clock.now();
        tables.servers.with(&server.as_str().into(), |state| {
            state.report = Some((FakeEngine::report(&server), now));
        });
        let platform = self.platform.platform();
        let api = JobsApi::new(tables.clone(), self.settings.clone(), platform.clone());
        let handle = start(BatchContext {
            tables: tables.clone(),
            settings: self.settings.clone(),
            platform,
            engine: Rc::new(EngineClient(self.engine.clone())),
        });
        self.nodes.push(Node {
            name,
            tables,
            api,
            handle: Some(handle),
        });
    }

    fn update_members(&self) {
        for node in &self.nodes {
            for other in &self.nodes {
                node.tables.members.put(Member {
                    node: other.name.clone(),
                    incarnation: 1 << 16,
                    state: MemberState::MemberAlive as i32,
                    ..Member::default()
                });
            }
        }
    }

    /// Marks a node as dead in the member tables of the other nodes.
    pub fn declare_dead(&self, index: usize) {
        let dead = self.nodes[index].name.clone();
        for node in self.nodes.iter().filter(|node| node.name != dead) {
            node.tables.members.put(Member {
                node: dead.clone(),
                incarnation: 1 << 16,
                state: MemberState::MemberDead as i32,
                ..Member::default()
            });
        }
    }

    /// Aborts the tasks of a node.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].handle = None;
        self.nodes[index]
            .tables
            .lifecycle
            .send_replace(Lifecycle::Stopped);
    }
}

impl Node {
    pub async fn call(&self, method: call::Method) -> Result<reply::Result, Failure> {
        let call = Call {
            budget_ms: 60_000,
            method: Some(method),
        };
        Ok(self.api.call(call).await?.result.expect("a result"))
    }

    pub async fn job(&self, job: &str) -> JobState {
        let call = JobGet {
            tenant: TENANT.to_owned(),
            job_id: job.to_owned(),
        };
        match self.call(call::Method::JobGet(call)).await {
            Ok(reply::Result::Job(state)) => state,
            other => panic!("no job: {other:?}"),
        }
    }

    pub async fn submit(&self, call: JobSubmit) -> Result<JobState, Failure> {
        match self.call(call::Method::JobSubmit(call)).await? {
            reply::Result::Job(state) => Ok(state),
            other => panic!("not a job: {other:?}"),
        }
    }

    pub async fn cancel(&self, job: &str) -> Result<JobState, Failure> {
        let call = JobCancel {
            tenant: TENANT.to_owned(),
            job_id: job.to_owned(),
        };
        match self.call(call::Method::JobCancel(call)).await? {
            reply::Result::Job(state) => Ok(state),
            other => panic!("not a job: {other:?}"),
        }
    }

    pub async fn read_file(&self, file: &str) -> String {
        let mut text = Vec::new();
        loop {
            let call = FileRead {
                file_id: file.to_owned(),
                offset: text.len() as u64,
                limit: 4_096,
                tenant: TENANT.to_owned(),
            };
            match self.call(call::Method::FileRead(call)).await {
                Ok(reply::Result::Data(data)) => {
                    text.extend_from_slice(&data.data);
                    if data.end {
                        return String::from_utf8(text).expect("text");
                    }
                }
                other => panic!("no data: {other:?}"),
            }
        }
    }

    /// Waits until a job has ended, for at least ten minutes of virtual time before it panics.
    pub async fn wait_until_ended(&self, job: &str) -> JobState {
        for _ in 0..12_000 {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let call = JobGet {
                tenant: TENANT.to_owned(),
                job_id: job.to_owned(),
            };
            if let Ok(reply::Result::Job(state)) = self.call(call::Method::JobGet(call)).await {
                let ended = [
                    JobPhase::JobCompleted,
                    JobPhase::JobFailed,
                    JobPhase::JobCancelled,
                ];
                if ended.contains(&state.phase()) {
                    return state;
                }
            }
        }
        panic!("job {job} did not end: {:?}", self.job(job).await);
    }
}

/// Input lines of chat items with the ids `item-0`, `item-1` and so on; each generates at most
/// `max_tokens` tokens.
pub fn lines(count: usize, max_tokens: u32) -> String {
    let line = |index: usize| {
        format!(
            r#"{{"custom_id":"item-{index}","method":"POST","url":"{CHAT}","body":{{"model":"llm","max_tokens":{max_tokens},"messages":[{{"role":"user","content":"match part {index}"}}]}}}}"#
        ) + "\n"
    };
    (0..count).map(line).collect()
}

/// Uploads a file and returns its id.
pub async fn upload(node: &Node, text: &str) -> String {
    let create = FileCreate {
        tenant: TENANT.to_owned(),
        filename: "input.jsonl".to_owned(),
        purpose: "batch".to_owned(),
    };
    let created = node.call(call::Method::FileCreate(create)).await;
    let Ok(reply::Result::File(file)) = created else {
        panic!("no file: {created:?}");
    };
    let mut offset = 0;
    for part in text.as_bytes().chunks(1_000) {
        let append = FileAppend {
            file_id: file.file_id.clone(),
            offset,
            data: part.to_vec(),
            tenant: TENANT.to_owned(),
        };
        let appended = node.call(call::Method::FileAppend(append)).await;
        appended.expect("appended");
        offset += part.len() as u64;
    }
    let seal = FileSeal {
        file_id: file.file_id.clone(),
        size: offset,
        tenant: TENANT.to_owned(),
    };
    node.call(call::Method::FileSeal(seal))
        .await
        .expect("sealed");
    file.file_id
}

/// Submission of a job over a file.
pub fn submit(file: &str, key: &str) -> JobSubmit {
    JobSubmit {
        tenant: TENANT.to_owned(),
        client_key: key.to_owned(),
        input_file_id: file.to_owned(),
        endpoint: CHAT.to_owned(),
        completion_window_s: 86_400,
        repeat: Repeat::Allowed as i32,
        metadata: Default::default(),
    }
}

/// Submission of a job whose items must run at most once.
pub fn at_most_once_submit(file: &str, key: &str) -> JobSubmit {
    JobSubmit {
        repeat: Repeat::Never as i32,
        ..submit(file, key)
    }
}
