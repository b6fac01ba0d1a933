//! Entry point of the online path on a worker thread.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_engine::Engine;
use dappleyard_settings::OnlineSettings;
use dappleyard_store::Platform;
use dappleyard_tables::NodeTables;
use dappleyard_transport::{LinkPool, ServerStream, StreamReceiver};
use dappleyard_wire::messages::{Call, RecordState, Reply, Stage, Submit, call, frame, reply};
use dappleyard_wire::{ErrorKind, Failure};
use tokio::sync::mpsc;

use crate::caller::Caller;
use crate::ingress::IngressRun;
use crate::owner::OwnerRun;
use crate::receive::Incoming;
use crate::recorder::Recorder;
use crate::settle;
use crate::shared::{OnlineShared, StreamSlot};
use crate::view::{PlacementView, ViewCache};

/// Retry delay suggested when the node has reached its stream limit, milliseconds.
const FULL_RETRY_AFTER_MS: u32 = 200;

/// Dependencies of an [`OnlineWorker`].
pub struct OnlineContext {
    /// Tables shared by the node's threads.
    pub tables: Arc<NodeTables>,
    pub settings: OnlineSettings,
    /// Platform clients of this thread.
    pub platform: Platform,
    /// Engine client of this thread.
    pub engine: Rc<dyn Engine>,
    /// Links to other nodes.
    pub links: Rc<LinkPool>,
    /// State shared by the node's workers.
    pub shared: Arc<OnlineShared>,
}

/// Client end of a submission made within this process.
pub struct LocalStream {
    /// Frames to the worker. Frames other than `Cancel` are ignored.
    pub to_worker: mpsc::UnboundedSender<frame::Body>,
    /// Frames from the worker; the last one is `Finish` or `Refused`.
    pub from_worker: StreamReceiver,
}

/// Serves submissions on one worker thread.
pub struct OnlineWorker {
    pub(crate) tables: Arc<NodeTables>,
    pub(crate) settings: OnlineSettings,
    pub(crate) engine: Rc<dyn Engine>,
    pub(crate) links: Rc<LinkPool>,
    pub(crate) shared: Arc<OnlineShared>,
    pub(crate) recorder: Recorder,
    views: RefCell<ViewCache>,
}

impl OnlineWorker {
    /// Must be called on the arbiter that the worker runs on.
    pub fn new(context: OnlineContext) -> Rc<OnlineWorker> {
        Rc::new(OnlineWorker {
            recorder: Recorder::new(
                context.platform.tables,
                context.shared.clone(),
                context.tables.clock,
            ),
            tables: context.tables,
            settings: context.settings,
            engine: context.engine,
            links: context.links,
            shared: context.shared,
            views: RefCell::default(),
        })
    }

    /// Serves a submission in a separate task. Exactly one final frame is sent on the stream.
    pub fn handle(self: &Rc<Self>, submit: Submit, stream: ServerStream) {
        self.begin(submit, Caller::from_stream(stream));
    }

    /// Serves a submission made within this process, without a link. Dropping `to_worker` is handled as
    /// a lost link.
    pub fn handle_local(self: &Rc<Self>, submit: Submit) -> LocalStream {
        let (to_worker, receiver) = mpsc::unbounded_channel();
        let (sink, from_worker) = mpsc::unbounded_channel();
        self.begin(submit, Caller::local(sink, receiver.into()));
        LocalStream {
            to_worker,
            from_worker: from_worker.into(),
        }
    }

    fn begin(self: &Rc<Self>, submit: Submit, caller: Caller) {
        match self.receive(submit) {
            Ok((incoming, slot)) => {
                let worker = self.clone();
                actix_rt::spawn(async move { worker.serve(incoming, caller, slot).await });
            }
            Err(failure) => {
                self.shared.metrics.count_refusal(&failure);
                caller.send(frame::Body::Refused(failure.to_refused()));
            }
        }
    }

    /// Handles `RecordBegin` and `RecordSettle` calls sent to this node as recorder of a key.
    pub async fn handle_record_call(&self, call: Call) -> Result<Reply, Failure> {
        let budget = Duration::from_millis(u64::from(call.budget_ms));
        let deadline = Instant::now() + budget;
        let state = match call.method {
            Some(call::Method::RecordBegin(begin)) => self.recorder.begin(begin, deadline).await?,
            Some(call::Method::RecordSettle(settle)) => {
                self.recorder.settle(settle).await?;
                RecordState::default()
            }
            _ => {
                return Err(Failure::not_run(
                    ErrorKind::InvalidRequest,
                    "the call is none of a recorder's",
                ));
            }
        };
        Ok(Reply {
            result: Some(reply::Result::Record(state)),
        })
    }

    /// Current view of the placement targets.
    pub(crate) fn view(&self) -> Rc<PlacementView> {
        self.views.borrow_mut().get(&self.tables)
    }

    /// Forces a rebuild of the view at the next placement.
    pub(crate) fn refresh_view(&self) {
        self.views.borrow_mut().invalidate();
    }

    fn receive(&self, submit: Submit) -> Result<(Incoming, StreamSlot), Failure> {
        let incoming = Incoming::read(submit)?;
        let ran_before = incoming.ran_before;
        if !self.tables.takes_new_work() {
            return Err(settle::not_ready().after(ran_before));
        }
        let slot = self.shared.open_stream().ok_or_else(|| {
            Failure::not_run(
                ErrorKind::Overloaded,
                "the node has as many streams as it may have",
            )
            .retry_after(FULL_RETRY_AFTER_MS)
            .after(ran_before)
        })?;
        Ok((incoming, slot))
    }

    async fn serve(self: Rc<Self>, incoming: Incoming, caller: Caller, _slot: StreamSlot) {
        let stage = incoming.stage;
        let requests = &self.shared.metrics.requests;
        requests.with_label_values(&[stage_name(stage)]).inc();
        match stage {
            Stage::Owner => OwnerRun::new(self, incoming, caller).run().await,
            Stage::Ingress | Stage::Cell => IngressRun::new(self, incoming, caller).run().await,
        }
    }
}

fn stage_name(stage: Stage) -> &'static str {
    match stage {
        Stage::Ingress => "ingress",
        Stage::Cell => "cell",
        Stage::Owner => "owner",
    }
}
