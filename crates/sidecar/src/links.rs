//! Links of one worker: connects to the nearest nodes and reconnects with jittered backoff.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_transport::policy::SharedPolicy;
use dappleyard_transport::{Link, LinkSettings};
use dappleyard_wire::PROTOCOL_VERSION;
use dappleyard_wire::hash::{hash_bytes, rendezvous_weight};
use dappleyard_wire::messages::{Hello, PeerNode};
use tokio::sync::Notify;

use crate::node_entry::{LinkState, NodeEntry};
use crate::node_selection::{Candidate, SelectionPolicy, select_node};
use crate::worker::Shared;

/// Maximum time between two maintenance rounds.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of known nodes.
const MAXIMUM_NODES: usize = 4_096;

pub struct Links {
    shared: Arc<Shared>,
    policy: SharedPolicy,
    settings: LinkSettings,
    entries: RefCell<BTreeMap<String, NodeEntry>>,
    changed: Notify,
    /// Number of maintenance rounds.
    rounds: Cell<u64>,
    /// This worker's share of the links gauge.
    gauge_value: Cell<i64>,
}

impl Links {
    /// Starts the maintenance task on the current arbiter.
    pub fn start(shared: Arc<Shared>, policy: SharedPolicy) -> Rc<Links> {
        let entries = shared
            .settings
            .nodes
            .iter()
            .map(|address| (address.clone(), NodeEntry::new(true)))
            .collect();
        let settings = LinkSettings {
            metrics: shared.metrics.transport.clone(),
            ..LinkSettings::from(&shared.settings.link)
        };
        let links = Rc::new(Links {
            settings,
            shared,
            policy,
            entries: RefCell::new(entries),
            changed: Notify::new(),
            rounds: Cell::new(0),
            gauge_value: Cell::new(0),
        });
        actix_rt::spawn(links.clone().maintain());
        links
    }

    /// Whether a request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.entries
            .borrow()
            .values()
            .any(NodeEntry::takes_new_work)
    }

    /// Selects the link for a generation, by key and load. Nodes in `avoid` are used only as a last
    /// resort.
    pub fn select_node(&self, key: u64, service: &str, avoid: &[String]) -> Option<Link> {
        self.select_with(key, SelectionPolicy::LessLoaded, service, avoid)
    }

    /// Selects the link for a call, by key alone, so that calls with one key go to one node.
    pub fn select_preferred(&self, key: u64, avoid: &[String]) -> Option<Link> {
        self.select_with(key, SelectionPolicy::First, "", avoid)
    }

    fn select_with(
        &self,
        key: u64,
        pick: SelectionPolicy,
        service: &str,
        avoid: &[String],
    ) -> Option<Link> {
        let entries = self.entries.borrow();
        let links: Vec<&Link> = entries
            .values()
            .filter(|known| known.takes_new_work())
            .filter_map(NodeEntry::link)
            .collect();
        let candidates: Vec<Candidate> =
            links.iter().map(|link| candidate(link, service)).collect();
        let index = select_node(&self.shared.settings.place, key, pick, &candidates, avoid)?;
        Some(links[index].clone())
    }

    /// Waits until a request can be sent, or until `until`.
    pub async fn wait_ready(&self, until: Instant) {
        while !self.is_ready() && Instant::now() < until {
            let next = (Instant::now() + MAINTENANCE_INTERVAL).min(until);
            let _ = dappleyard_clock::timeout_at(next, self.changed.notified()).await;
        }
    }

    async fn maintain(self: Rc<Self>) {
        loop {
            self.apply_peers();
            self.mark_lost();
            let targets = self.targets();
            for address in &targets {
                self.dial_when_down(address);
            }
            self.close_surplus(&targets);
            self.update_gauge();
            let _ = tokio::time::timeout(MAINTENANCE_INTERVAL, self.changed.notified()).await;
        }
    }

    /// Adds the peers announced by connected nodes, and removes nodes that are no longer announced.
    fn apply_peers(&self) {
        let round = self.rounds.get() + 1;
        self.rounds.set(round);
        let mut entries = self.entries.borrow_mut();
        let links: Vec<Link> = entries
            .values()
            .filter_map(NodeEntry::link)
            .cloned()
            .collect();
        let mut announced = false;
        for link in &links {
            link.read_peers(|peers| {
                announced |= !peers.nodes.is_empty();
                for peer in &peers.nodes {
                    apply_peer(&mut entries, peer, round);
                }
            });
        }
        entries.retain(|_, entry| {
            let linked = matches!(entry.state, LinkState::Up(_) | LinkState::Dialling);
            !announced || entry.configured || linked || entry.last_announced == round
        });
    }

    fn mark_lost(&self) {
        for entry in self.entries.borrow_mut().values_mut() {
            if entry.link().is_some_and(|link| !link.is_up()) {
                self.count_failure("lost");
                entry.back_off();
            }
        }
    }

    /// Addresses to keep links to: the nearest nodes, including one of another zone.
    fn targets(&self) -> Vec<String> {
        let entries = self.entries.borrow();
        let settings = &self.shared.settings;
        let seed = hash_bytes(settings.id.as_bytes());
        let mut usable: Vec<(&String, &NodeEntry)> = entries
            .iter()
            .filter(|(_, entry)| entry.is_usable(Instant::now()))
            .collect();
        usable.sort_by_key(|(address, entry)| {
            let far = entry.distance_from(&settings.place);
            (far, std::cmp::Reverse(rendezvous_weight(seed, address)))
        });
        let reserve = usable
            .iter()
            .position(|(_, entry)| entry.distance_from(&settings.place) > 0)
            .filter(|first_far| settings.links > 1 && *first_far >= settings.links);
        let mut targets: Vec<(&String, &NodeEntry)> =
            usable.iter().take(settings.links).copied().collect();
        if let Some(first_far) = reserve {
            targets.pop();
            targets.push(usable[first_far]);
        }
        targets
            .into_iter()
            .map(|(address, _)| address.clone())
            .collect()
    }

    /// Closes idle links that are not targets, while more than the configured number are up.
    fn close_surplus(&self, targets: &[String]) {
        let mut entries = self.entries.borrow_mut();
        let up = entries
            .values()
            .filter(|entry| entry.takes_new_work())
            .count();
        let surplus = up.saturating_sub(self.shared.settings.links);
        entries
            .iter_mut()
            .filter(|(address, entry)| entry.takes_new_work() && !targets.contains(address))
            .filter(|(_, entry)| entry.link().is_some_and(|link| link.open_streams() == 0))
            .take(surplus)
            .for_each(|(_, entry)| entry.state = LinkState::Idle);
    }

    fn dial_when_down(self: &Rc<Self>, address: &str) {
        match self.entries.borrow_mut().get_mut(address) {
            Some(entry) if matches!(entry.state, LinkState::Idle | LinkState::Backoff(_)) => {
                entry.state = LinkState::Dialling;
            }
            _ => return,
        }
        let address = address.to_owned();
        let links = self.clone();
        actix_rt::spawn(async move {
            let hello = links.hello();
            let dialled =
                Link::connect(&address, hello, &links.settings, links.policy.clone()).await;
            links.record_dial(&address, dialled.as_ref().ok());
            if let Ok(loss) = dialled.map(|link| link.loss_signal()) {
                loss.wait().await;
                links.changed.notify_waiters();
            }
        });
    }

    fn record_dial(&self, address: &str, link: Option<&Link>) {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(address) else {
            return;
        };
        match link {
            Some(link) => entry.mark_connected(link),
            None => {
                self.count_failure("not_made");
                entry.back_off();
            }
        }
        drop(entries);
        self.changed.notify_waiters();
    }

    fn hello(&self) -> Hello {
        let settings = &self.shared.settings;
        Hello {
            protocol: PROTOCOL_VERSION,
            id: settings.id.clone(),
            zone: settings.place.zone.clone(),
            region: settings.place.region.clone(),
            incarnation: 0,
            sidecar: true,
        }
    }

    fn update_gauge(&self) {
        let up = self
            .entries
            .borrow()
            .values()
            .filter(|entry| entry.link().is_some_and(Link::is_up))
            .count();
        let up = i64::try_from(up).unwrap_or(i64::MAX);
        self.shared.metrics.links.add(up - self.gauge_value.get());
        self.gauge_value.set(up);
    }

    fn count_failure(&self, cause: &str) {
        self.shared
            .metrics
            .link_failures
            .with_label_values(&[cause])
            .inc();
    }
}

fn apply_peer(entries: &mut BTreeMap<String, NodeEntry>, peer: &PeerNode, round: u64) {
    if let Some(entry) = entries.get_mut(&peer.link_address) {
        entry.announced(peer, round);
    } else if entries.len() < MAXIMUM_NODES {
        let mut entry = NodeEntry::new(false);
        entry.announced(peer, round);
        entries.insert(peer.link_address.clone(), entry);
    }
}

fn candidate(link: &Link, service: &str) -> Candidate {
    let wait_ms = link.read_load(|load| {
        let services = load.map_or(&[][..], |load| &load.services);
        services
            .iter()
            .find(|load| load.service == service)
            .map_or(0, |load| load.wait_ms)
    });
    Candidate {
        node: link.peer().id.clone(),
        zone: link.peer().zone.clone(),
        region: link.peer().region.clone(),
        wait_ms,
        open_streams: link.open_streams(),
    }
}
