//! Pool of links from one worker thread to other nodes, by address.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_wire::messages::{Call, Hello, Refused, Reply, frame};
use derive_more::{Display, Error};
use futures::FutureExt;
use futures::future::{LocalBoxFuture, Shared};

use crate::link::{Link, LinkError, LinkSettings};
use crate::policy::SharedPolicy;

/// Time for which a failed dial is cached, so that requests to a lost node fail immediately.
const REDIAL_BACKOFF: Duration = Duration::from_millis(200);

type Dial = Shared<LocalBoxFuture<'static, Result<Link, LinkError>>>;

enum Slot {
    Dialling(Dial),
    Up(Link),
    Failed(LinkError, Instant),
}

impl Slot {
    /// Whether the slot can be removed, so that addresses of removed nodes do not accumulate.
    fn is_expired(&self) -> bool {
        match self {
            Slot::Failed(_, at) => at.elapsed() >= REDIAL_BACKOFF,
            Slot::Up(link) => !link.is_up(),
            Slot::Dialling(_) => false,
        }
    }
}

/// Why a unary call gave no reply.
#[derive(Debug, Clone, PartialEq, Display, Error)]
pub enum CallError {
    /// The link could not be used, and the call was not sent.
    #[display("{_0}")]
    NotSent(#[error(not(source))] LinkError),
    /// The link was lost or the reply timed out; the call may have taken effect.
    #[display("no reply: {reason}")]
    NoReply {
        /// Description of the cause.
        reason: String,
    },
    /// The peer refused the call.
    #[display("refused: {}", _0.message)]
    Refused(#[error(not(source))] Refused),
}

/// Links by address. Concurrent requests share one dial, and all streams of the thread one link.
pub struct LinkPool {
    hello: Hello,
    settings: LinkSettings,
    policy: SharedPolicy,
    links: Rc<RefCell<HashMap<String, Slot>>>,
}

impl LinkPool {
    /// Creates an empty pool whose links send `hello`.
    pub fn new(hello: Hello, settings: LinkSettings, policy: SharedPolicy) -> LinkPool {
        LinkPool {
            hello,
            settings,
            policy,
            links: Rc::default(),
        }
    }

    /// Returns a link to `address`, dialling it if there is none.
    pub async fn get(&self, address: &str) -> Result<Link, LinkError> {
        let dial = match self.links.borrow().get(address) {
            Some(Slot::Up(link)) if link.is_up() => return Ok(link.clone()),
            Some(Slot::Failed(error, at)) if at.elapsed() < REDIAL_BACKOFF => {
                return Err(error.clone());
            }
            Some(Slot::Dialling(dial)) => Some(dial.clone()),
            _ => None,
        };
        let dial = dial.unwrap_or_else(|| self.dial(address));
        let result = dial.await;
        let slot = match &result {
            Ok(link) => Slot::Up(link.clone()),
            Err(error) => Slot::Failed(error.clone(), Instant::now()),
        };
        let mut links = self.links.borrow_mut();
        links.retain(|_, slot| !slot.is_expired());
        if matches!(links.get(address), Some(Slot::Dialling(_))) {
            links.insert(address.to_owned(), slot);
        }
        result
    }

    /// Sends a unary call and waits at most `reply_timeout` for its reply.
    pub async fn call(
        &self,
        address: &str,
        mut call: Call,
        reply_timeout: Duration,
    ) -> Result<Reply, CallError> {
        call.budget_ms = u32::try_from(reply_timeout.as_millis()).unwrap_or(u32::MAX);
        let link = self.get(address).await.map_err(CallError::NotSent)?;
        let mut stream = link
            .open(frame::Body::Call(call))
            .map_err(CallError::NotSent)?;
        match tokio::time::timeout(reply_timeout, stream.receive()).await {
            Ok(Ok(frame::Body::Reply(reply))) => Ok(reply),
            Ok(Ok(frame::Body::Refused(refused))) => Err(CallError::Refused(refused)),
            Ok(Ok(_)) => Err(no_reply("unexpected frame type")),
            Ok(Err(error)) => Err(no_reply(&error.to_string())),
            Err(_) => Err(no_reply("timed out")),
        }
    }

    fn dial(&self, address: &str) -> Dial {
        let (hello, settings) = (self.hello.clone(), self.settings.clone());
        let (policy, owned) = (self.policy.clone(), address.to_owned());
        let dial = async move { Link::connect(&owned, hello, &settings, policy).await }
            .boxed_local()
            .shared();
        let slot = Slot::Dialling(dial.clone());
        self.links.borrow_mut().insert(address.to_owned(), slot);
        dial
    }
}

fn no_reply(reason: &str) -> CallError {
    CallError::NoReply {
        reason: reason.to_owned(),
    }
}
