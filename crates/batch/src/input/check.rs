//! Validation of an input file and its division into chunks.
//!
//! The file is streamed once. Memory holds one line, a hash of each `custom_id` and the byte ranges
//! of small groups of items: about 20 bytes per item.

use std::collections::HashSet;

use dappleyard_decide::chunks::{self, ChunkSizing};
use dappleyard_store::{ObjectStore, StoreError};
use dappleyard_wire::hash::hash_bytes;
use dappleyard_wire::messages::JobError;

use super::item::parse_item;
use super::lines::{Line, LineReader};
use super::parts::PartIndex;

/// Maximum number of errors reported for a job.
const MAXIMUM_ERRORS: usize = 20;

/// Limits on an input file, and the sizing of its chunks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InputLimits {
    /// Endpoint that every item must name.
    pub endpoint: String,
    /// Maximum length of a line, bytes.
    pub line_bytes: usize,
    /// Maximum number of items.
    pub items: u32,
    /// Maximum size of a chunk, bytes; a chunk of one item may be larger.
    pub chunk_bytes: u64,
    /// Chunk sizing; its `items` is replaced by the number of items not yet in a chunk.
    pub chunks: ChunkSizing,
}

/// Range of the input that makes up a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChunkRange {
    /// Offset of the first byte.
    pub start: u64,
    /// Offset after the last byte.
    pub end: u64,
    /// Index of the first item.
    pub first_item: u32,
    /// Number of items.
    pub items: u32,
}

/// Result of validating an input file.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CheckedInput {
    /// The first errors in the file.
    pub errors: Vec<JobError>,
    /// Number of items.
    pub items: u32,
    /// Service that all items name.
    pub service: String,
    /// Chunks in input order; meaningless if there are errors.
    pub chunks: Vec<ChunkRange>,
}

/// Validates an input file and divides it into chunks.
///
/// # Errors
/// Store errors only; errors in the input are part of the result.
pub async fn check_input(
    objects: &dyn ObjectStore,
    parts: &PartIndex,
    limits: &InputLimits,
) -> Result<CheckedInput, StoreError> {
    let mut reader = LineReader::new(objects, parts, 0, limits.line_bytes);
    let mut checker = InputChecker::new(limits);
    while let Some(line) = reader.next().await? {
        if !checker.check_next(&line) {
            break;
        }
    }
    Ok(checker.finish())
}

/// State of a validation.
struct InputChecker<'a> {
    limits: &'a InputLimits,
    checked: CheckedInput,
    custom_id_hashes: HashSet<u64>,
    groups: Vec<ChunkRange>,
}

impl<'a> InputChecker<'a> {
    fn new(limits: &'a InputLimits) -> InputChecker<'a> {
        InputChecker {
            limits,
            checked: CheckedInput::default(),
            custom_id_hashes: HashSet::new(),
            groups: Vec::new(),
        }
    }

    /// Checks the next line. Returns `false` when reading should stop.
    fn check_next(&mut self, line: &Line) -> bool {
        if self.checked.items == self.limits.items {
            let message = format!("a job has at most {} items", self.limits.items);
            self.checked
                .errors
                .push(job_error(line.number, "", message));
            return false;
        }
        match self.check_line(line) {
            Ok(()) => self.add(line),
            Err(line_error) => self.checked.errors.push(line_error),
        }
        self.checked.items += 1;
        self.checked.errors.len() < MAXIMUM_ERRORS
    }

    fn check_line(&mut self, line: &Line) -> Result<(), JobError> {
        let Some(content) = &line.content else {
            let message = format!("the line is longer than {} bytes", self.limits.line_bytes);
            return Err(job_error(line.number, "", message));
        };
        let item = parse_item(content, &self.limits.endpoint)
            .map_err(|line_error| job_error(line.number, line_error.field, line_error.message))?;
        let service = &mut self.checked.service;
        if service.is_empty() {
            service.clone_from(&item.service);
        }
        if *service != item.service {
            let message = format!("all items of a job name one model; the first names {service:?}");
            return Err(job_error(line.number, "body.model", message));
        }
        if !self
            .custom_id_hashes
            .insert(hash_bytes(item.custom_id.as_bytes()))
        {
            let message = format!("{:?} names an earlier item too", item.custom_id);
            return Err(job_error(line.number, "custom_id", message));
        }
        Ok(())
    }

    /// Appends a valid line to the last group, or starts a new group.
    fn add(&mut self, line: &Line) {
        let max_group_items = self
            .limits
            .chunks
            .minimum
            .clamp(1, self.limits.chunks.maximum.max(1));
        match self.groups.last_mut() {
            Some(group)
                if group.items < max_group_items
                    && self.limits.fits_chunk(group.start, line.end) =>
            {
                group.end = line.end;
                group.items += 1;
            }
            _ => self.groups.push(ChunkRange {
                start: line.start,
                end: line.end,
                first_item: self.checked.items,
                items: 1,
            }),
        }
    }

    fn finish(mut self) -> CheckedInput {
        if self.checked.items == 0 {
            let message = "the file has no items".to_owned();
            self.checked.errors.push(job_error(0, "", message));
        }
        self.checked.chunks = merge_groups(&self.groups, self.checked.items, self.limits);
        self.checked
    }
}

impl InputLimits {
    fn fits_chunk(&self, start: u64, end: u64) -> bool {
        end - start <= self.chunk_bytes
    }
}

/// Merges adjacent groups into chunks, each sized by the number of remaining items.
fn merge_groups(groups: &[ChunkRange], items: u32, limits: &InputLimits) -> Vec<ChunkRange> {
    let mut chunk_ranges: Vec<ChunkRange> = Vec::new();
    let mut size = 0;
    for group in groups {
        if chunk_ranges
            .last()
            .is_none_or(|chunk_range| chunk_range.items >= size)
        {
            size = chunks::chunk_items(&ChunkSizing {
                items: items - group.first_item,
                ..limits.chunks
            });
        }
        match chunk_ranges.last_mut() {
            Some(chunk_range)
                if chunk_range.items + group.items <= size
                    && limits.fits_chunk(chunk_range.start, group.end) =>
            {
                chunk_range.end = group.end;
                chunk_range.items += group.items;
            }
            _ => chunk_ranges.push(*group),
        }
    }
    chunk_ranges
}

fn job_error(line: u32, field: &str, message: String) -> JobError {
    JobError {
        line,
        field: field.to_owned(),
        message,
    }
}
