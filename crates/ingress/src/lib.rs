//! Serving of online requests: admission, placement, dispatch and response streaming.
//!
//! `front` reads a request, `dispatch` finds a server that runs it and `relay` forwards the
//! response. Once a request may have run, it is never reported as not run: only requests that
//! certainly did not run are refused with a status that says so.

mod admission;
mod answer;
mod answer_pauses;
mod answer_times;
mod attempt;
mod closing;
mod cold;
mod cold_watch;
mod connecting;
mod crashes;
mod dispatch;
mod evacuated_zones;
mod event_stream;
mod front;
mod holding;
mod homes;
mod job_calls;
mod metrics;
mod node;
mod open_slots;
mod outcome;
mod pace_evidence;
mod patience;
mod placement;
mod placing;
mod read_ahead;
mod refusing;
mod relay;
mod room;
mod shares;
mod zone_care;

pub use answer_pauses::{AnswerPauses, excess};
pub use answer_times::{AnswerTimes, LearnedTime};
pub use attempt::{Attempt, AttemptError, Exchange, Ran, Upstreams};
pub use closing::close;
pub use cold::ColdGate;
pub use cold_watch::watch_temperatures;
pub use crashes::{Broken, Evidence, apart};
pub use evacuated_zones::{EvacuatedZone, ZoneWatch, evacuated_zones};
pub use event_stream::{Event, EventSplitter};
pub use front::{PeerAnswers, configure, front_app_data};
pub use holding::{Allowance, Standing, standing};
pub use homes::{reached, regions_for};
pub use job_calls::{JobCalls, JobReply};
pub use metrics::Metrics;
pub use node::Node;
pub use outcome::ErrorKind;
pub use patience::Patience;
pub use placement::{
    Candidate, PromptShape, choose, has_slot, home, is_sound, mean_over, sample, within_reach,
};
pub use read_ahead::{Bound, Chunks, KeptBounds, LONGEST_STOP, ReadAhead};
pub use relay::Cut;
pub use room::RoomTable;
pub use shares::ShareTable;
pub use zone_care::watch_zones;
