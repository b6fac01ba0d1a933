//! Where streams began, so that they are continued at the same service and software version.
//!
//! A caller that resumes a stream names the attempt that brought its first event, and may do so at any node, also after
//! the node that served the attempt has ended. Two things tell where the stream began:
//!
//! - **Versions of the service.** While a service has had a single software version for as long as a stream can live,
//!   every stream began at it. See [`VersionHistory`].
//! - **Records.** While it has several, each node tells two others of the streams that begin at it, and a node that has
//!   no record asks. See [`StreamTable`].
//!
//! A node that knows neither refuses the resumption.

mod history;
mod key;
mod ledger;
mod messages;
mod questions;
mod resolve;
mod table;

pub use history::{Knowledge, SETTLE_TIME, VERSION_RETENTION, VersionHistory, Versions};
pub use key::StreamKey;
pub use ledger::{MAX_STREAMS, StreamLedger};
pub use messages::{
    OriginMessage, ServiceVersions, StreamAnswer, StreamAnswers, StreamNews, StreamQuestion,
    StreamQuestions,
};
pub use questions::Answer;
pub use resolve::resolve;
pub use table::{Asked, StreamTable};
