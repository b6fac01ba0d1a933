//! Serving of online requests: admission, placement, dispatch and response streaming.
//!
//! `front` reads a request, `dispatch` finds a server that runs it and `relay` forwards the
//! response. Once a request may have run, it is never reported as not run: only requests that
//! certainly did not run are refused with a status that says so.

mod admission;
mod attempt;
mod capacity;
mod cold_limit;
mod completion;
mod connections;
mod crashes;
mod deadline;
mod dispatch;
mod error_kind;
mod evacuated_zones;
mod event_gaps;
mod event_stream;
mod front;
mod home_regions;
mod incomplete_output;
mod job_calls;
mod late_requests;
mod metrics;
mod node;
mod output_limits;
mod placement;
mod refusals;
mod relay;
mod request_body;
mod response_buffer;
mod response_matching;
mod response_times;
mod responses;
mod resumption;
mod runs;
mod server_selection;
mod shares;
mod shutdown;
mod silence;
mod silence_limits;
mod slot_usage;
mod slowdown;
mod takeover;
mod urgency;
mod warmup_monitor;
mod zone_monitor;

pub use attempt::{Attempt, AttemptError, Exchange, Ran, Upstreams};
pub use capacity::CapacityTable;
pub use cold_limit::ColdLimit;
pub use completion::{ends_before_process, may_meet_deadline};
pub use crashes::{Evidence, InterruptedRun, last_run_server, request_features};
pub use error_kind::ErrorKind;
pub use evacuated_zones::{EvacuatedZone, EvacuationLogger, evacuated_zones};
pub use event_gaps::{EventGaps, excess_slowdown};
pub use event_stream::{Event, EventSplitter};
pub use front::{PeerHandler, configure, front_app_data};
pub use home_regions::{candidate_servers, directory_regions};
pub use incomplete_output::IncompleteOutput;
pub use job_calls::{JobCalls, JobReply};
pub use metrics::Metrics;
pub use node::{DIRECTORY_TTL_MS, Node};
pub use output_limits::{OutputExceeded, OutputLimits};
pub use placement::{
    Candidate, PromptShape, affinity_server, choose, has_free_slot, is_healthy, limit_by_region,
    mean_excess, sample,
};
pub use relay::TruncatedResponse;
pub use response_buffer::{BufferLimit, BufferLimits, BufferedResponse, MAX_STALL};
pub use response_times::{DurationRange, LatencyHistogram, ResponseTimes};
pub use shares::ShareTable;
pub use shutdown::{ProcessEnd, close_connections};
pub use silence_limits::SilenceLimits;
pub use takeover::{SilentRun, Stay};
pub use urgency::{OvercommitLimit, Urgency, urgency};
pub use warmup_monitor::monitor_warmup;
pub use zone_monitor::monitor_zones;
