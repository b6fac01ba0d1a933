//! Fingerprints distinguish requests by every part and identify retries.

use dappleyard_crashes::{Fingerprint, RequestParts};
use googletest::prelude::*;

const REQUEST: RequestParts<'static> = RequestParts {
    caller: "t-1",
    method: "POST",
    host: "shop.example",
    target: "/chat/x?a=1",
    body: b"hello",
};

#[gtest]
fn every_part_counts() {
    let first = Fingerprint::of(&REQUEST);
    let others = [
        RequestParts {
            caller: "t-2",
            ..REQUEST
        },
        RequestParts {
            method: "PUT",
            ..REQUEST
        },
        RequestParts {
            host: "other.example",
            ..REQUEST
        },
        RequestParts {
            target: "/chat/x?a=2",
            ..REQUEST
        },
        RequestParts {
            body: b"hellp",
            ..REQUEST
        },
    ];
    for other in others {
        expect_that!(Fingerprint::of(&other), not(eq(first)));
    }
    let uppercase = RequestParts {
        host: "SHOP.example",
        ..REQUEST
    };
    expect_that!(Fingerprint::of(&uppercase), eq(first));
}

#[gtest]
fn part_boundaries_count() {
    let shifted = RequestParts {
        caller: "t-1P",
        method: "OST",
        ..REQUEST
    };
    expect_that!(
        Fingerprint::of(&shifted),
        not(eq(Fingerprint::of(&REQUEST)))
    );
}

#[gtest]
fn text_round_trip() {
    let first = Fingerprint::of(&REQUEST);
    expect_that!(first.to_string().parse::<Fingerprint>(), ok(eq(&first)));
    expect_that!(first.to_string().starts_with(&first.short()), eq(true));
    expect_that!(Fingerprint::from_bytes(first.as_bytes()), some(eq(first)));
    for wrong in ["", "12", &"g".repeat(32), &"é".repeat(16)] {
        expect_that!(wrong.parse::<Fingerprint>(), err(anything()));
    }
}
