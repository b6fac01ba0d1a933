//! Status of evacuated zones for operators: metrics, and a log record once a zone is empty.

use std::collections::HashSet;
use std::time::Duration;

use dappleyard_model::ZoneName;

use crate::node::Node;

/// State of an evacuated zone as known to this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuatedZone {
    pub zone: ZoneName,
    /// Revision of the evacuation order.
    pub revision: u64,
    /// Time since this node received the order.
    pub age: Duration,
    /// Online requests and batch items still running in the zone, over all nodes; `None` while
    /// unknown.
    pub work: Option<(u32, u32)>,
    /// Nothing runs there, and no connected node sends anything there any more.
    pub empty: bool,
}

pub fn evacuated_zones(node: &Node) -> Vec<EvacuatedZone> {
    let in_force = Duration::from_millis(node.settings.bounds.evacuation_ms);
    let zones = node.view.evacuations().into_iter();
    zones
        .map(|evacuation| {
            let work = node
                .view
                .zone_work(evacuation.zone.as_str(), &node.loads, &node.peers)
                .map(|work| (work.online, work.batch));
            let age = evacuation.since.elapsed();
            EvacuatedZone {
                // Other nodes may send requests there until the order has reached them.
                empty: work == Some((0, 0)) && age >= in_force,
                zone: evacuation.zone,
                revision: evacuation.revision,
                age,
                work,
            }
        })
        .collect()
}

/// Logs once per evacuation that its zone is empty.
#[derive(Debug, Default)]
pub struct EvacuationLogger {
    logged: HashSet<(ZoneName, u64)>,
}

impl EvacuationLogger {
    /// Logs each evacuated zone that has become empty.
    pub fn log_empty_zones(&mut self, node: &Node) {
        let zones = evacuated_zones(node);
        let key = |zone: &EvacuatedZone| (zone.zone.clone(), zone.revision);
        let active: HashSet<(ZoneName, u64)> = zones.iter().map(key).collect();
        self.logged.retain(|logged| active.contains(logged));
        for zone in zones.iter().filter(|zone| zone.empty) {
            if self.logged.insert(key(zone)) {
                node.log.write("zone_empty", || {
                    serde_json::json!({"zone": zone.zone.to_string(), "revision": zone.revision,
                        "after_ms": zone.age.as_millis() as u64})
                });
            }
        }
    }
}

/// Human-readable list of the active orders.
pub(crate) fn orders_text(node: &Node) -> String {
    let held = node.view.evacuations().into_iter();
    let orders: Vec<String> = held
        .map(|evacuation| format!("{} (revision {})", evacuation.zone, evacuation.revision))
        .collect();
    format!("evacuated: {}", orders.join(", "))
}

/// Zone metrics in the Prometheus text format: server counts, and details of evacuated zones.
pub(crate) fn zone_metrics(node: &Node) -> String {
    let servers = node.view.servers_by_zone();
    let servers = servers
        .iter()
        .map(|(zone, count)| (zone.as_str(), u64::from(*count)));
    let mut text = gauge("zone_servers", servers);
    if let Some(age) = node.view.configuration_age() {
        let age_ms = age.as_millis();
        text.push_str(&format!(
            "# TYPE dappleyard_orders_age_ms gauge\ndappleyard_orders_age_ms {age_ms}\n"
        ));
    }
    let zones = evacuated_zones(node);
    if zones.is_empty() {
        return text;
    }
    let figure = |value: fn(&EvacuatedZone) -> Option<u64>| {
        let logged = zones
            .iter()
            .filter_map(move |zone| Some((zone.zone.as_str(), value(zone)?)));
        logged.collect::<Vec<_>>().into_iter()
    };
    let gauges = [
        (
            "evacuated_zone_age_ms",
            figure(|zone| Some(zone.age.as_millis() as u64)),
        ),
        (
            "evacuated_zone_revision",
            figure(|zone| Some(zone.revision)),
        ),
        (
            "evacuated_zone_online",
            figure(|zone| Some(zone.work?.0.into())),
        ),
        (
            "evacuated_zone_items",
            figure(|zone| Some(zone.work?.1.into())),
        ),
        (
            "evacuated_zone_empty",
            figure(|zone| Some(zone.empty.into())),
        ),
    ];
    for (name, values) in gauges {
        text.push_str(&gauge(name, values));
    }
    text
}

fn gauge<'a>(name: &str, values: impl Iterator<Item = (&'a str, u64)>) -> String {
    let mut text = format!("# TYPE dappleyard_{name} gauge\n");
    for (zone, value) in values {
        text.push_str(&format!("dappleyard_{name}{{zone={zone:?}}} {value}\n"));
    }
    text
}
