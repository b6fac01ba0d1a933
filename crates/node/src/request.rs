//! A request worker: accepts links and hands each stream to the online path or to a call handler.

use std::net::TcpListener as StdTcpListener;
use std::rc::Rc;
use std::sync::Arc;

use dappleyard_batch::JobsApi;
use dappleyard_budget::MemoryBudget;
use dappleyard_online::{OnlineContext, OnlineShared, OnlineWorker};
use dappleyard_settings::NodeSettings;
use dappleyard_store::PlatformFactory;
use dappleyard_tables::NodeTables;
use dappleyard_transport::link::Announcement;
use dappleyard_transport::policy::SharedPolicy;
use dappleyard_transport::{
    LinkMetrics, LinkPool, LinkServer, LinkSettings, RequestGate, ServerStream,
};
use dappleyard_wire::messages::{Hello, frame};
use dappleyard_wire::{ErrorKind, Failure};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::calls::CallHandler;
use crate::engine;

#[derive(Clone)]
pub struct RequestContext {
    /// Memory for messages of callers.
    pub budget: Arc<MemoryBudget>,
    pub settings: NodeSettings,
    pub tables: Arc<NodeTables>,
    /// State that the workers share for online requests.
    pub shared: Arc<OnlineShared>,
    pub platform: PlatformFactory,
    pub policy: SharedPolicy,
    pub announcement: watch::Receiver<Announcement>,
    pub hello: Hello,
    pub link_metrics: Arc<LinkMetrics>,
    /// Admits streams until the node closes.
    pub gate: Arc<RequestGate>,
    /// Becomes true when the links end; a worker drops it when its links have ended.
    pub end_links: watch::Receiver<bool>,
}

impl RequestContext {
    fn link_settings(&self) -> LinkSettings {
        LinkSettings {
            budget: self.budget.clone(),
            metrics: self.link_metrics.clone(),
            ..LinkSettings::from(&self.settings.link)
        }
    }
}

/// Runs a worker on this thread until its links have ended.
pub async fn run(context: RequestContext, listener: StdTcpListener) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let handler = stream_handler(&context);
    let mut end_links = context.end_links.clone();
    let ending = async {
        let _ = end_links.wait_for(|end| *end).await;
    };
    let server = Rc::new(LinkServer {
        settings: context.link_settings(),
        hello: context.hello,
        policy: context.policy,
        announcement: context.announcement,
        gate: context.gate,
    });
    server.serve_until(ending, listener, handler).await;
    Ok(())
}

fn stream_handler(context: &RequestContext) -> Rc<dyn Fn(ServerStream)> {
    let platform = (context.platform)();
    let engine = engine::client(&context.settings.online);
    let links = Rc::new(LinkPool::new(
        context.hello.clone(),
        context.link_settings(),
        context.policy.clone(),
    ));
    let online = OnlineWorker::new(OnlineContext {
        tables: context.tables.clone(),
        settings: context.settings.online.clone(),
        platform: platform.clone(),
        engine,
        links,
        shared: context.shared.clone(),
    });
    let calls = Rc::new(CallHandler {
        tables: context.tables.clone(),
        jobs: JobsApi::new(
            context.tables.clone(),
            context.settings.batch.clone(),
            platform,
        ),
        online: online.clone(),
    });
    Rc::new(move |stream: ServerStream| match stream.first.clone() {
        frame::Body::Submit(submit) => online.handle(submit, stream),
        frame::Body::Call(call) => {
            let calls = calls.clone();
            actix_rt::spawn(async move { calls.answer(call, stream).await });
        }
        _ => {
            let failure = Failure::not_run(
                ErrorKind::InvalidRequest,
                "a stream begins with a submission or a call",
            );
            let _ = stream.send(frame::Body::Refused(failure.to_refused()));
        }
    })
}
