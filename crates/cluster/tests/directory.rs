//! Selection of the node addresses for callers.

use std::collections::BTreeSet;
use std::time::Duration;

use dappleyard_cluster::directory::{DirectoryContext, DirectoryQuery, FrontNode, addresses_for};
use dappleyard_model::{FailureTolerance, Topology};
use googletest::prelude::*;

const RECENT: Duration = Duration::from_millis(400);

fn node(address: impl Into<String>, zone: &str) -> FrontNode {
    FrontNode {
        address: address.into(),
        zone: zone.to_owned(),
        age: RECENT,
        ready: true,
        strong: false,
    }
}

/// `count` nodes of a zone, last heard `age_ms` ago.
fn nodes(zone: &str, count: usize, age_ms: u64) -> Vec<FrontNode> {
    let nodes = (0..count).map(|number| FrontNode {
        age: Duration::from_millis(age_ms),
        ..node(format!("{zone}-{number:02}"), zone)
    });
    nodes.collect()
}

fn places(zones: &[(&str, &str)]) -> Topology {
    let zones = zones
        .iter()
        .map(|(zone, region)| ((*zone).into(), (*region).into()));
    zones.collect()
}

fn six_zones() -> Topology {
    places(&[
        ("n1", "north"),
        ("n2", "north"),
        ("s1", "south"),
        ("s2", "south"),
        ("w1", "west"),
        ("w2", "west"),
    ])
}

struct Deployment {
    places: Topology,
    zones: u32,
    own: &'static str,
}

impl Deployment {
    fn answer(&self, zone: &str, nodes: &[FrontNode]) -> Vec<String> {
        self.answer_within(zone, nodes, None)
    }

    fn answer_within(
        &self,
        zone: &str,
        nodes: &[FrontNode],
        regions: Option<&[&str]>,
    ) -> Vec<String> {
        let regions: Option<BTreeSet<_>> =
            regions.map(|regions| regions.iter().map(|region| (*region).into()).collect());
        let context = DirectoryContext {
            own_zone: self.own,
            places: &self.places,
            tolerated: FailureTolerance {
                zones: self.zones,
                regions: 0,
            },
        };
        let query = DirectoryQuery {
            zone: Some(zone),
            regions: regions.as_ref(),
        };
        addresses_for(query, context, nodes)
    }
}

/// Number of addresses in a zone.
fn count_in_zone(zone: &str, addresses: &[String]) -> usize {
    let in_zone = |address: &&String| address.starts_with(zone);
    addresses.iter().filter(in_zone).count()
}

#[gtest]
fn own_zone_first() {
    let single_region = Deployment {
        places: Topology::default(),
        zones: 0,
        own: "north",
    };
    let ready = [node("a", "north"), node("b", "north"), node("c", "south")];
    expect_that!(single_region.answer("north", &ready), eq(&["a", "b"]));
    expect_that!(single_region.answer("south", &ready), eq(&["c"]));
    expect_that!(single_region.answer("west", &ready), eq(&["a", "b", "c"]));
    let context = DirectoryContext {
        own_zone: "north",
        places: &single_region.places,
        tolerated: FailureTolerance::default(),
    };
    let without_zone = addresses_for(DirectoryQuery::default(), context, &ready);
    expect_that!(without_zone, eq(&["a", "b", "c"]));
    let many: Vec<FrontNode> = nodes("north", 100, 400);
    expect_that!(single_region.answer("north", &many).len(), eq(64));
}

#[gtest]
fn region_before_other_regions() {
    let regions = Deployment {
        places: six_zones(),
        zones: 0,
        own: "n2",
    };
    let all = ["n2", "s1", "s2", "w1", "w2"].map(|zone| nodes(zone, 14, 400));
    let answer = regions.answer("n1", &all.concat());
    expect_that!((count_in_zone("n2", &answer), answer.len()), eq((14, 14)));
    // A region with hardly any node is filled up, but only up to three nodes.
    let few = [nodes("n2", 1, 400), nodes("s1", 14, 400)].concat();
    let answer = regions.answer("n1", &few);
    expect_that!((count_in_zone("n2", &answer), answer.len()), eq((1, 3)));
    // A region without any node is given the recently heard nodes of other regions.
    let far = [nodes("s1", 14, 400), nodes("w1", 14, 1_900)].concat();
    let answer = regions.answer("n1", &far);
    expect_that!((count_in_zone("s1", &answer), answer.len()), eq((14, 14)));
}

#[gtest]
fn zone_with_few_nodes() {
    let zones = Deployment {
        places: six_zones(),
        zones: 0,
        own: "n2",
    };
    // The few remaining nodes must not serve all callers of their zone.
    let all = [nodes("n1", 2, 400), nodes("n2", 14, 400)].concat();
    let answer = zones.answer("n1", &all);
    expect_that!(
        (count_in_zone("n1", &answer), count_in_zone("n2", &answer)),
        eq((2, 12))
    );
    let all = [nodes("n1", 9, 400), nodes("n2", 14, 400)].concat();
    let answer = zones.answer("n1", &all);
    expect_that!(
        (count_in_zone("n1", &answer), count_in_zone("n2", &answer)),
        eq((9, 0))
    );
}

#[gtest]
fn spare_addresses() {
    let mut zones = Deployment {
        places: places(&[("a", "one"), ("b", "one"), ("c", "one")]),
        zones: 1,
        own: "a",
    };
    let all = ["a", "b", "c"].map(|zone| nodes(zone, 22, 400)).concat();
    let answer = zones.answer("a", &all);
    expect_that!((count_in_zone("a", &answer), answer.len()), eq((22, 30)));
    // The answer is stable: callers close connections to addresses that it no longer lists.
    let mut reversed = all.clone();
    reversed.reverse();
    expect_that!(zones.answer("a", &reversed), eq(&answer));
    // A large zone leaves room for spare addresses.
    let large = [nodes("a", 100, 400), nodes("b", 100, 400)].concat();
    let answer = zones.answer("a", &large);
    expect_that!((count_in_zone("a", &answer), answer.len()), eq((48, 64)));
    // Without zone-loss tolerance no spare addresses are listed, since traffic between zones is
    // billed.
    zones.zones = 0;
    expect_that!(zones.answer("a", &all).len(), eq(22));
}

#[gtest]
fn silent_zone() {
    let zones = Deployment {
        places: places(&[("a", "one"), ("b", "one"), ("c", "one")]),
        zones: 1,
        own: "b",
    };
    // All nodes of a zone have been silent for longer than one lost datagram explains.
    let mut all = nodes("a", 22, 1_400);
    all.extend(nodes("b", 22, 400));
    all.extend(nodes("c", 22, 800));
    let answer = zones.answer("a", &all);
    expect_that!(
        (count_in_zone("a", &answer), count_in_zone("b", &answer)),
        eq((0, 22))
    );
    // One of them is heard again, then most of them: the silence of the others may be lost
    // datagrams.
    all[0].age = Duration::from_millis(50);
    let answer = zones.answer("a", &all);
    expect_that!(
        (
            count_in_zone("a", &answer),
            count_in_zone("b", &answer) + count_in_zone("c", &answer)
        ),
        eq((1, 21))
    );
    (0..12).for_each(|number| all[number].age = Duration::from_millis(50));
    expect_that!(count_in_zone("a", &zones.answer("a", &all)), eq(22));
}

#[gtest]
fn partitioned_zone() {
    let zones = Deployment {
        places: places(&[("a", "one"), ("b", "one"), ("c", "one")]),
        zones: 1,
        own: "a",
    };
    let lost = |zone, age_ms| -> Vec<FrontNode> {
        let nodes = nodes(zone, 22, age_ms).into_iter();
        nodes
            .map(|node| FrontNode {
                ready: false,
                ..node
            })
            .collect()
    };
    // More zones are silent than may fail at once, so this zone counts as partitioned. Callers may
    // use the last known nodes of the other zones.
    let all = [nodes("a", 22, 100), lost("b", 3_000), lost("c", 3_000)].concat();
    let answer = zones.answer("a", &all);
    expect_that!((count_in_zone("a", &answer), answer.len()), eq((22, 44)));
    // Nodes last heard too long ago are not listed.
    let all = [nodes("a", 22, 100), lost("b", 5_000), lost("c", 5_000)].concat();
    expect_that!(zones.answer("a", &all).len(), eq(22));
    // A single silent zone counts as lost and is not listed.
    let all = [nodes("a", 22, 100), lost("b", 3_000), nodes("c", 22, 400)].concat();
    expect_that!(count_in_zone("b", &zones.answer("a", &all)), eq(0));
}

#[gtest]
fn allowed_regions() {
    let regions = Deployment {
        places: six_zones(),
        zones: 1,
        own: "n1",
    };
    let all = ["n1", "n2", "s1"].map(|zone| nodes(zone, 14, 400)).concat();
    let answer = regions.answer_within("n1", &all, Some(&["south"]));
    expect_that!((count_in_zone("s1", &answer), answer.len()), eq((14, 14)));
    let answer = regions.answer_within("n1", &all, Some(&["west"]));
    expect_that!(answer.is_empty(), eq(true));
}
