//! Buffer limits and chunk accounting.

use dappleyard_callers::ChunkQueue;
use dappleyard_ingress::{BufferLimit, BufferLimits};
use dappleyard_model::Resources;
use googletest::prelude::*;

fn limits(memory_mb: u32) -> BufferLimits {
    BufferLimits::of(Resources {
        core_millis: 90,
        link_mbps: 30,
        memory_mb,
        max_fds: 4_096,
    })
}

#[gtest]
fn limits_follow_memory() {
    let limits = limits(120);
    expect_that!(limits.node_bytes, eq(15 * 1024 * 1024));
    expect_that!(limits.answer_bytes, eq(240 * 1024));
}

#[gtest]
fn limits_reached() {
    let limits = limits(120);
    let (answer, node) = (limits.answer_bytes, limits.node_bytes);
    let limit_reached = [(1, 1), (answer, answer), (1, node), (answer, node)];
    let limit_reached = limit_reached.map(|(own, all)| limits.limit_reached(own, all));
    expect_that!(
        limit_reached,
        eq([
            None,
            Some(BufferLimit::Answer),
            Some(BufferLimit::Node),
            Some(BufferLimit::Answer)
        ])
    );
}

#[gtest]
fn empty_buffer_is_always_read() {
    let limits = limits(120);
    expect_that!(limits.limit_reached(0, 2 * limits.node_bytes), none());
}

/// Bytes with a position-dependent pattern.
fn bytes(length: usize) -> Vec<u8> {
    (0..length).map(|place| (place % 251) as u8).collect()
}

#[gtest]
fn chunks_keep_order() {
    let sent = bytes(200_001);
    for piece in [1, 700, 16_384, 200_001] {
        let mut chunks = ChunkQueue::default();
        sent.chunks(piece).for_each(|piece| chunks.push(piece));
        expect_that!(chunks.allocated_bytes(), ge(sent.len()));
        let taken: Vec<u8> = std::iter::from_fn(|| chunks.take()).flatten().collect();
        expect_that!(taken == sent, eq(true), "pieces of {piece}");
        expect_that!(chunks.allocated_bytes(), eq(0));
    }
}

#[gtest]
fn taken_chunks_are_freed() {
    let sent = bytes(200_001);
    let mut chunks = ChunkQueue::default();
    sent.chunks(1_000).for_each(|piece| chunks.push(piece));
    let mut left = sent.len();
    let info = allocation_counter::measure(|| {
        while left > 16 * 1024 {
            left -= chunks.take().map_or(0, |piece| piece.len());
        }
    });
    // Taken chunks are freed at once.
    let freed = u64::try_from(-info.bytes_current).unwrap_or(0);
    expect_that!(freed, ge((sent.len() - left) as u64));
    expect_that!(chunks.allocated_bytes(), all!(ge(left), le(32 * 1024)));
}

#[gtest]
fn allocation_is_counted() {
    let sent = bytes(100_000);
    let mut chunks = ChunkQueue::default();
    let info = allocation_counter::measure(|| {
        sent.chunks(1_000).for_each(|piece| chunks.push(piece));
    });
    // The only other allocation is the chunk list.
    let taken = usize::try_from(info.bytes_current).unwrap_or(0);
    expect_that!(chunks.allocated_bytes(), all!(le(taken), ge(taken - 1_024)));
}
