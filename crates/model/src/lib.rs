//! Domain types of a serving node, and the traits through which it uses the platform.
//!
//! Apart from the writer thread of [`EventLog`], this crate performs no I/O, and it is independent of wire formats.
//! Durations are in milliseconds unless a field says otherwise.

pub mod configuration;
pub mod dialect;
pub mod events;
pub mod homes;
pub mod place;
pub mod request;
pub mod rows;
pub mod settings;
pub mod software_version;
pub mod tenant;

pub use configuration::{Configuration, Route, RouteKind, Service, Target, TrafficLimits};
pub use dialect::{
    Dialect, Endpoint, FormatError, OperatorOrder, ResultEntry, ServerHeaders, ServersSource,
    TenantHeader,
};
pub use events::{EventLog, TIME_FIELD};
pub use homes::HomeRegions;
pub use place::{Distance, RegionName, Topology, ZoneName};
pub use request::{
    ItemSubmission, PromptPart, RequestMetadata, ResponseMetadata, ServerLoad, ServerRecord,
};
pub use rows::{Committed, Condition, Feed, Row, RowKey, RowStore, Rows, StoreError, Transaction};
pub use settings::{
    Bounds, ColdBounds, FailureTolerance, Listen, NodeSettings, QuotaBounds, Resources,
    StoreSettings,
};
pub use software_version::{ParseSoftwareVersionError, RunOrigin, SoftwareVersion, may_run_at};
pub use tenant::{DuplicateKey, KeyDigest, RateLimit, Tenant, TenantName, Tenants};
