//! Properties of the wire format and of the error kinds.

use std::collections::BTreeSet;

use dappleyard_wire::error::join_ran;
use dappleyard_wire::messages::{
    ChunkRow, ConfigurationEntry, Datagram, EpochRow, Frame, JobRow, OnceOutcome, OnceRow, Ran,
    Refused, SyncEntries, datagram,
};
use dappleyard_wire::{ErrorKind, Failure};
use googletest::prelude::*;
use proptest::prelude::*;
use prost::Message;

fn round_trip<M: Message + Default + PartialEq>(message: &M) -> bool {
    M::decode(message.encode_to_vec().as_slice()).is_ok_and(|read| read == *message)
}

/// Whether bytes that decode survive another round trip.
fn reencodes_unchanged<M: Message + Default + PartialEq>(bytes: &[u8]) -> bool {
    M::decode(bytes).map_or(true, |message| round_trip(&message))
}

fn entries() -> impl Strategy<Value = Vec<ConfigurationEntry>> {
    let fields = (any::<u64>(), any::<u64>(), ".{0,20}", any::<Vec<u8>>());
    let entry = fields.prop_map(|(revision, previous, key, value)| ConfigurationEntry {
        revision,
        previous,
        key,
        value,
        ..ConfigurationEntry::default()
    });
    prop::collection::vec(entry, 0..5)
}

fn datagram(entries: Vec<ConfigurationEntry>) -> Datagram {
    Datagram {
        from: "node-1".to_owned(),
        incarnation: 1 << 40,
        body: Some(datagram::Body::Entries(SyncEntries {
            entries,
            up_to: 9,
            ..SyncEntries::default()
        })),
        ..Datagram::default()
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(bytes in any::<Vec<u8>>()) {
        // Messages with floats are only decoded, since NaN does not compare equal to itself.
        let _ = Frame::decode(bytes.as_slice());
        let _ = JobRow::decode(bytes.as_slice());
        let _ = Datagram::decode(bytes.as_slice());
        prop_assert!(reencodes_unchanged::<ChunkRow>(&bytes));
        prop_assert!(reencodes_unchanged::<OnceRow>(&bytes));
        prop_assert!(reencodes_unchanged::<EpochRow>(&bytes));
    }

    #[test]
    fn a_corrupted_datagram_is_decoded_or_rejected(
        entries in entries(),
        at in any::<prop::sample::Index>(),
        bit in 0..8_u8,
        cut in any::<prop::sample::Index>(),
    ) {
        let datagram = datagram(entries);
        prop_assert!(round_trip(&datagram));
        let mut bytes = datagram.encode_to_vec();
        let position = at.index(bytes.len());
        bytes[position] ^= 1 << bit;
        let _ = Datagram::decode(bytes.as_slice());
        bytes.truncate(cut.index(bytes.len()));
        let _ = Datagram::decode(bytes.as_slice());
    }

    #[test]
    fn rows_round_trip(
        text in ".{0,40}",
        numbers in any::<[u64; 4]>(),
        pieces in prop::collection::vec(".{0,8}", 0..6),
        flag in any::<bool>(),
    ) {
        let chunk = ChunkRow {
            job_id: text.clone(),
            epoch: numbers[0],
            holder_incarnation: numbers[1],
            started_items: numbers[2],
            maybe_started: flag,
            ..ChunkRow::default()
        };
        prop_assert!(round_trip(&chunk));
        let outcome = OnceOutcome { pieces, ..OnceOutcome::default() };
        let record = OnceRow {
            writer: text,
            fingerprint: numbers[3],
            outcome: Some(outcome),
            ..OnceRow::default()
        };
        prop_assert!(round_trip(&record));
    }

    #[test]
    fn joined_execution_states_never_decrease(facts in prop::collection::vec(0..3_i32, 0..8)) {
        let facts = facts.into_iter().map(|fact| Ran::try_from(fact).unwrap_or(Ran::Maybe));
        let facts: Vec<Ran> = facts.collect();
        let joined = facts.iter().copied().fold(Ran::No, join_ran);
        prop_assert!(facts.iter().all(|fact| *fact as i32 <= joined as i32));
        prop_assert_eq!(joined == Ran::No, facts.iter().all(|fact| *fact == Ran::No));
    }

    #[test]
    fn a_refusal_round_trips(kind in any::<u32>(), ran in any::<i32>(), text in ".{0,20}") {
        let refused = Refused { kind, ran, message: text, ..Refused::default() };
        let failure = Failure::from_refused(&refused);
        if Ran::try_from(ran).is_err() {
            prop_assert_eq!(failure.ran, Ran::Maybe);
        }
        let again = Failure::from_refused(&failure.to_refused());
        prop_assert_eq!(again, failure);
    }
}

#[gtest]
fn error_kinds_have_unique_codes_and_valid_answers() {
    let codes = ErrorKind::ALL.iter().map(|kind| kind.answer().code);
    expect_that!(
        codes.collect::<BTreeSet<_>>(),
        len(eq(ErrorKind::ALL.len()))
    );
    for (number, kind) in (1..).zip(ErrorKind::ALL) {
        let answer = kind.answer();
        expect_that!(*kind as u32, eq(number));
        expect_that!(ErrorKind::from_number(number), eq(*kind));
        expect_that!(answer.status, all![ge(400), lt(600)]);
        let caller_error = answer.error_type == "invalid_request_error";
        expect_that!(
            !caller_error || answer.status < 500,
            eq(true),
            "{}",
            answer.code
        );
        let types = ["invalid_request_error", "rate_limit_error", "server_error"];
        expect_that!(types, contains(eq(answer.error_type)));
    }
    expect_that!(ErrorKind::from_number(0), eq(ErrorKind::Internal));
    expect_that!(ErrorKind::from_number(10_000), eq(ErrorKind::Internal));
}
