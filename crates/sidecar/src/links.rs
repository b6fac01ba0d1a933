//! The links of one worker: a few nodes, the nearest first, dialled again with jittered backoff.

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

use crate::choose::{Candidate, Pick, choose};
use crate::known::{Known, State};
use crate::worker::Shared;

/// Time between two looks at the links when nothing happens.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Most nodes remembered.
const MAXIMUM_KNOWN: usize = 4_096;

/// Links of one worker.
pub struct Links {
    shared: Arc<Shared>,
    policy: SharedPolicy,
    settings: LinkSettings,
    known: RefCell<BTreeMap<String, Known>>,
    changed: Notify,
    /// Number of looks at the links so far.
    looks: Cell<u64>,
    /// Links of this worker that the gauge counts already.
    counted: Cell<i64>,
}

impl Links {
    /// Starts to keep links on this arbiter.
    pub fn start(shared: Arc<Shared>, policy: SharedPolicy) -> Rc<Links> {
        let known = shared
            .settings
            .nodes
            .iter()
            .map(|address| (address.clone(), Known::new(true)))
            .collect();
        let settings = LinkSettings {
            metrics: shared.metrics.transport.clone(),
            ..LinkSettings::from(&shared.settings.link)
        };
        let links = Rc::new(Links {
            settings,
            shared,
            policy,
            known: RefCell::new(known),
            changed: Notify::new(),
            looks: Cell::new(0),
            counted: Cell::new(0),
        });
        actix_rt::spawn(links.clone().keep());
        links
    }

    /// Whether a request could be sent now.
    pub fn is_ready(&self) -> bool {
        self.known.borrow().values().any(Known::takes_new_work)
    }

    /// The link of the node that a request with this key enters at. Nodes in `avoid` are taken only
    /// when there is no other.
    pub fn choose(&self, key: u64, service: &str, avoid: &[String]) -> Option<Link> {
        self.pick(key, Pick::LessLoaded, service, avoid)
    }

    /// The link of the node that all calls with this key go to while it is there.
    pub fn choose_first(&self, key: u64, avoid: &[String]) -> Option<Link> {
        self.pick(key, Pick::First, "", avoid)
    }

    fn pick(&self, key: u64, pick: Pick, service: &str, avoid: &[String]) -> Option<Link> {
        let known = self.known.borrow();
        let links: Vec<&Link> = known
            .values()
            .filter(|known| known.takes_new_work())
            .filter_map(Known::link)
            .collect();
        let candidates: Vec<Candidate> =
            links.iter().map(|link| candidate(link, service)).collect();
        let index = choose(&self.shared.settings.place, key, pick, &candidates, avoid)?;
        Some(links[index].clone())
    }

    /// Waits until a request could be sent, or this moment has come.
    pub async fn wait_ready(&self, until: Instant) {
        while !self.is_ready() && Instant::now() < until {
            let next = (Instant::now() + LOOK_INTERVAL).min(until);
            let _ = dappleyard_clock::timeout_at(next, self.changed.notified()).await;
        }
    }

    async fn keep(self: Rc<Self>) {
        loop {
            self.learn_peers();
            self.note_lost();
            let wanted = self.wanted();
            for address in &wanted {
                self.dial_when_down(address);
            }
            self.close_spare(&wanted);
            self.count();
            let _ = tokio::time::timeout(LOOK_INTERVAL, self.changed.notified()).await;
        }
    }

    /// Takes over what the nodes at the other ends tell of their peers, and forgets those of which
    /// nobody tells any more.
    fn learn_peers(&self) {
        let look = self.looks.get() + 1;
        self.looks.set(look);
        let mut known = self.known.borrow_mut();
        let links: Vec<Link> = known.values().filter_map(Known::link).cloned().collect();
        let mut told = false;
        for link in &links {
            link.read_peers(|peers| {
                told |= !peers.nodes.is_empty();
                for peer in &peers.nodes {
                    learn(&mut known, peer, look);
                }
            });
        }
        known.retain(|_, entry| {
            let linked = matches!(entry.state, State::Up(_) | State::Dialling);
            !told || entry.configured || linked || entry.told_at == look
        });
    }

    fn note_lost(&self) {
        for entry in self.known.borrow_mut().values_mut() {
            if entry.link().is_some_and(|link| !link.is_up()) {
                self.count_failure("lost");
                entry.wait();
            }
        }
    }

    /// Addresses to keep links to: the nearest nodes, one of another zone among them.
    fn wanted(&self) -> Vec<String> {
        let known = self.known.borrow();
        let settings = &self.shared.settings;
        let seed = hash_bytes(settings.id.as_bytes());
        let mut usable: Vec<(&String, &Known)> = known
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
        let mut wanted: Vec<(&String, &Known)> =
            usable.iter().take(settings.links).copied().collect();
        if let Some(first_far) = reserve {
            wanted.pop();
            wanted.push(usable[first_far]);
        }
        wanted
            .into_iter()
            .map(|(address, _)| address.clone())
            .collect()
    }

    /// Closes unused links beyond those wanted, while enough others are up.
    fn close_spare(&self, wanted: &[String]) {
        let mut known = self.known.borrow_mut();
        let up = known
            .values()
            .filter(|entry| entry.takes_new_work())
            .count();
        let spare = up.saturating_sub(self.shared.settings.links);
        known
            .iter_mut()
            .filter(|(address, entry)| entry.takes_new_work() && !wanted.contains(address))
            .filter(|(_, entry)| entry.link().is_some_and(|link| link.open_streams() == 0))
            .take(spare)
            .for_each(|(_, entry)| entry.state = State::Idle);
    }

    fn dial_when_down(self: &Rc<Self>, address: &str) {
        match self.known.borrow_mut().get_mut(address) {
            Some(entry) if matches!(entry.state, State::Idle | State::Waiting(_)) => {
                entry.state = State::Dialling;
            }
            _ => return,
        }
        let address = address.to_owned();
        let links = self.clone();
        actix_rt::spawn(async move {
            let hello = links.hello();
            let dialled =
                Link::connect(&address, hello, &links.settings, links.policy.clone()).await;
            links.note_dialled(&address, dialled.as_ref().ok());
            if let Ok(loss) = dialled.map(|link| link.loss_signal()) {
                loss.wait().await;
                links.changed.notify_waiters();
            }
        });
    }

    fn note_dialled(&self, address: &str, link: Option<&Link>) {
        let mut known = self.known.borrow_mut();
        let Some(entry) = known.get_mut(address) else {
            return;
        };
        match link {
            Some(link) => entry.linked(link),
            None => {
                self.count_failure("not_made");
                entry.wait();
            }
        }
        drop(known);
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

    fn count(&self) {
        let up = self
            .known
            .borrow()
            .values()
            .filter(|entry| entry.link().is_some_and(Link::is_up))
            .count();
        let up = i64::try_from(up).unwrap_or(i64::MAX);
        self.shared.metrics.links.add(up - self.counted.get());
        self.counted.set(up);
    }

    fn count_failure(&self, cause: &str) {
        self.shared
            .metrics
            .link_failures
            .with_label_values(&[cause])
            .inc();
    }
}

fn learn(known: &mut BTreeMap<String, Known>, peer: &PeerNode, look: u64) {
    if let Some(entry) = known.get_mut(&peer.link_address) {
        entry.told(peer, look);
    } else if known.len() < MAXIMUM_KNOWN {
        let mut entry = Known::new(false);
        entry.told(peer, look);
        known.insert(peer.link_address.clone(), entry);
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
