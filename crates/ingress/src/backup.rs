//! Which streams have their memory copied to a second server, and to which one. Pure.
//!
//! Load: streams that must not run twice and whose server crashes. They cannot begin anew elsewhere, so without a copy
//! of what the server kept of them they are lost. A stream that may be resumed needs none: it reads its prompt again.
//!
//! Servers seldom end, and then seldom one alone. A copy moves megabytes for a stream of seconds, so copies are made only
//! for a while after a server was seen to end; the streams of that first one are lost.
//!
//! A copy takes up memory at the second server, and no server is to be short of it for the runs of another: where each
//! server holds one copy for each of its own slots, runs and copies must fit together. A copy is also many thousand
//! times as large as the answer, so it stays in its zone.

use std::sync::Arc;
use std::time::Duration;

use dappleyard_cluster::LoadSummary;
use dappleyard_model::{Route, RouteKind, ServerRecord, Service};
use rand::Rng;
use rand::seq::IndexedRandom;

/// Servers that are weighed for one copy. Two would often both be busy; were all weighed, all nodes would choose the
/// same one until its load is told.
const WEIGHED: usize = 3;
/// Requests that each slot has memory for: its own, and one that is copied.
const SHARES_OF_SLOT: u32 = 2;
/// Time after the end of a server in which copies are made. A server that keeps ending, or a fault that goes from one to
/// the next, shows again within some restarts of a server, which take seconds.
const AFTER_END: Duration = Duration::from_secs(30);

/// Whether servers end often enough now for copies to be worth their bytes, by the time since one was last seen to.
pub fn copies_now(since_last_end: Option<Duration>) -> bool {
    since_last_end.is_some_and(|since| since < AFTER_END)
}

/// Whether the memory of a request of `tokens` (its prompt and the most that it makes) may be copied while it runs at
/// a server of `slots`.
pub fn takes_backup(route: &Route, service: &Service, tokens: u32, slots: u32) -> bool {
    let must_not_repeat = route.kind == RouteKind::Streaming && !route.may_repeat();
    let room = service.memory_tokens / (slots.max(1).saturating_mul(SHARES_OF_SLOT));
    service.stream_backups && must_not_repeat && tokens <= room
}

/// The server that keeps the copy of a run at `runs_at`, out of those that may take new work; `None` where its zone
/// has no other sound one.
pub fn choose_backup<'a>(
    runs_at: &ServerRecord,
    open: impl Iterator<Item = &'a Arc<ServerRecord>>,
    load: impl Fn(&ServerRecord) -> LoadSummary,
    random: &mut impl Rng,
) -> Option<Arc<ServerRecord>> {
    let beside = open.filter(|server| {
        server.zone == runs_at.zone
            && server.instance != runs_at.instance
            && server.address != runs_at.address
    });
    let beside: Vec<_> = beside.collect();
    let drawn = beside.choose_multiple(random, WEIGHED);
    drawn
        .copied()
        .map(|server| (server, load(server)))
        .filter(|(_, load)| !load.suspect)
        .min_by_key(|(_, load)| load.online + load.batch)
        .map(|(server, _)| server.clone())
}
