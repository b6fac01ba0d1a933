//! Serving of online requests: admission, placement, dispatch and response streaming.
//!
//! `front` reads a request, `dispatch` finds a server that runs it and `relay` forwards the
//! response. Once a request may have run, it is never reported as not run: only requests that
//! certainly did not run are refused with a status that says so.

mod admission;
mod attempt;
mod capacity;
mod cold_limit;
mod connections;
mod crashes;
mod dispatch;
mod error_kind;
mod evacuated_zones;
mod event_gaps;
mod event_stream;
mod front;
mod home_regions;
mod job_calls;
mod metrics;
mod node;
mod pace;
mod placement;
mod refusals;
mod relay;
mod response_buffer;
mod response_times;
mod responses;
mod server_selection;
mod shares;
mod shutdown;
mod silence_limits;
mod slot_usage;
mod temperature_monitor;
mod urgency;
mod zone_monitor;

pub use attempt::{Attempt, AttemptError, Exchange, Ran, Upstreams};
pub use capacity::RoomTable;
pub use cold_limit::ColdGate;
pub use crashes::{Broken, Evidence, apart};
pub use error_kind::ErrorKind;
pub use evacuated_zones::{EvacuatedZone, ZoneWatch, evacuated_zones};
pub use event_gaps::{EventGaps, excess_pace};
pub use event_stream::{Event, EventSplitter};
pub use front::{PeerAnswers, configure, front_app_data};
pub use home_regions::{directory_regions, reached};
pub use job_calls::{JobCalls, JobReply};
pub use metrics::Metrics;
pub use node::Node;
pub use placement::{
    Candidate, PromptShape, affinity_server, choose, has_free_slot, is_healthy, limit_by_region,
    mean_excess, sample,
};
pub use relay::Cut;
pub use response_buffer::{BufferLimit, ChunkQueue, KeptBounds, LONGEST_STOP, ReadAhead};
pub use response_times::{AnswerTimes, LatencyHistogram};
pub use shares::ShareTable;
pub use shutdown::close;
pub use silence_limits::Patience;
pub use temperature_monitor::watch_temperatures;
pub use urgency::{OvercommitLimit, Urgency, urgency};
pub use zone_monitor::watch_zones;
