//! Connection from the ingress stage to an owner stage, in this worker or over a link.

use std::rc::Rc;

use dappleyard_transport::StreamReceiver;
use dappleyard_transport::link::ClientStream;
use dappleyard_wire::messages::{Submit, frame};
use tokio::sync::mpsc;

use crate::caller::Caller;
use crate::owner::OwnerRun;
use crate::place::Target;
use crate::receive::Incoming;
use crate::worker::OnlineWorker;

/// A submission to an owner in progress.
pub(crate) enum OwnerLink {
    Local {
        to_owner: mpsc::UnboundedSender<frame::Body>,
        from_owner: StreamReceiver,
    },
    Remote(ClientStream),
}

/// The submission was not sent: nothing ran.
#[derive(Debug)]
pub(crate) struct NotSent(pub String);

/// The owner was lost after the submission was sent.
#[derive(Debug)]
pub(crate) struct OwnerLost;

impl OwnerLink {
    pub async fn open(
        worker: &Rc<OnlineWorker>,
        target: &Target,
        submit: Submit,
    ) -> Result<OwnerLink, NotSent> {
        match target {
            Target::Local => OwnerLink::open_local(worker, submit),
            Target::Node(address, _) => {
                let link = worker.links.get(&address.link_address).await;
                let link = link.map_err(|error| NotSent(error.to_string()))?;
                if !link.takes_new_work() {
                    return Err(NotSent(format!("{} takes no new work", address.node)));
                }
                let stream = link.open(frame::Body::Submit(submit));
                let stream = stream.map_err(|error| NotSent(error.to_string()))?;
                Ok(OwnerLink::Remote(stream))
            }
        }
    }

    fn open_local(worker: &Rc<OnlineWorker>, submit: Submit) -> Result<OwnerLink, NotSent> {
        let incoming = Incoming::read(submit).map_err(|failure| NotSent(failure.message))?;
        let (to_owner, receiver) = mpsc::unbounded_channel();
        let (sink, from_owner) = mpsc::unbounded_channel();
        let caller = Caller::local(sink, receiver.into());
        let run = OwnerRun::new(worker.clone(), incoming, caller);
        actix_rt::spawn(run.run());
        Ok(OwnerLink::Local {
            to_owner,
            from_owner: from_owner.into(),
        })
    }

    /// Sends a frame. The loss of the owner is reported by [`OwnerLink::receive`].
    pub fn send(&self, body: frame::Body) {
        match self {
            OwnerLink::Local { to_owner, .. } => drop(to_owner.send(body)),
            OwnerLink::Remote(stream) => drop(stream.send(body)),
        }
    }

    /// Receives the next frame from the owner.
    pub async fn receive(&mut self) -> Result<frame::Body, OwnerLost> {
        match self {
            OwnerLink::Local { from_owner, .. } => from_owner.recv().await.ok_or(OwnerLost),
            OwnerLink::Remote(stream) => stream.receive().await.map_err(|_| OwnerLost),
        }
    }
}
