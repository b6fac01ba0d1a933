//! Validation of an input file and its division into chunks.
//!
//! The file is streamed once. Memory holds one line, a hash of each `custom_id` and the byte ranges
//! of small groups of items: about 20 bytes per item.

use std::collections::HashSet;

use dappleyard_decide::chunks::{self, ChunkSizing};
use dappleyard_store::{ObjectStore, StoreError};
use dappleyard_wire::hash::hash_bytes;
use dappleyard_wire::messages::JobError;

use super::item::parse;
use super::lines::{Line, LineReader};
use super::parts::PartIndex;

/// Maximum number of errors reported for a job.
const MAXIMUM_ERRORS: usize = 20;

/// Limits on an input file, and the sizing of its chunks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bounds {
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
pub struct Span {
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
pub struct Checked {
    /// The first errors, at most [`MAXIMUM_ERRORS`].
    pub errors: Vec<JobError>,
    /// Number of items.
    pub items: u32,
    /// Service that all items name.
    pub service: String,
    /// Chunks in input order; meaningless if there are errors.
    pub chunks: Vec<Span>,
}

/// Validates an input file and divides it into chunks.
///
/// # Errors
/// Store errors only; errors in the input are part of the result.
pub async fn check(
    objects: &dyn ObjectStore,
    parts: &PartIndex,
    bounds: &Bounds,
) -> Result<Checked, StoreError> {
    let mut reader = LineReader::new(objects, parts, 0, bounds.line_bytes);
    let mut checker = Checker::new(bounds);
    while let Some(line) = reader.next().await? {
        if !checker.take(&line) {
            break;
        }
    }
    Ok(checker.end())
}

/// State of a validation.
struct Checker<'a> {
    bounds: &'a Bounds,
    checked: Checked,
    names: HashSet<u64>,
    groups: Vec<Span>,
}

impl<'a> Checker<'a> {
    fn new(bounds: &'a Bounds) -> Checker<'a> {
        Checker {
            bounds,
            checked: Checked::default(),
            names: HashSet::new(),
            groups: Vec::new(),
        }
    }

    /// Checks the next line. Returns `false` when reading should stop.
    fn take(&mut self, line: &Line) -> bool {
        if self.checked.items == self.bounds.items {
            let message = format!("a job has at most {} items", self.bounds.items);
            self.checked.errors.push(error(line.number, "", message));
            return false;
        }
        match self.check_line(line) {
            Ok(()) => self.add(line),
            Err(problem) => self.checked.errors.push(problem),
        }
        self.checked.items += 1;
        self.checked.errors.len() < MAXIMUM_ERRORS
    }

    fn check_line(&mut self, line: &Line) -> Result<(), JobError> {
        let Some(content) = &line.content else {
            let message = format!("the line is longer than {} bytes", self.bounds.line_bytes);
            return Err(error(line.number, "", message));
        };
        let item = parse(content, &self.bounds.endpoint)
            .map_err(|problem| error(line.number, problem.field, problem.message))?;
        let service = &mut self.checked.service;
        if service.is_empty() {
            service.clone_from(&item.service);
        }
        if *service != item.service {
            let message = format!("all items of a job name one model; the first names {service:?}");
            return Err(error(line.number, "body.model", message));
        }
        if !self.names.insert(hash_bytes(item.custom_id.as_bytes())) {
            let message = format!("{:?} names an earlier item too", item.custom_id);
            return Err(error(line.number, "custom_id", message));
        }
        Ok(())
    }

    /// Appends a valid line to the last group, or starts a new group.
    fn add(&mut self, line: &Line) {
        let most = self
            .bounds
            .chunks
            .minimum
            .clamp(1, self.bounds.chunks.maximum.max(1));
        match self.groups.last_mut() {
            Some(group) if group.items < most && self.bounds.admits(group.start, line.end) => {
                group.end = line.end;
                group.items += 1;
            }
            _ => self.groups.push(Span {
                start: line.start,
                end: line.end,
                first_item: self.checked.items,
                items: 1,
            }),
        }
    }

    fn end(mut self) -> Checked {
        if self.checked.items == 0 {
            let message = "the file has no items".to_owned();
            self.checked.errors.push(error(0, "", message));
        }
        self.checked.chunks = merge(&self.groups, self.checked.items, self.bounds);
        self.checked
    }
}

impl Bounds {
    fn admits(&self, start: u64, end: u64) -> bool {
        end - start <= self.chunk_bytes
    }
}

/// Merges adjacent groups into chunks, each sized by the number of remaining items.
fn merge(groups: &[Span], items: u32, bounds: &Bounds) -> Vec<Span> {
    let mut spans: Vec<Span> = Vec::new();
    let mut size = 0;
    for group in groups {
        if spans.last().is_none_or(|span| span.items >= size) {
            size = chunks::chunk_items(&ChunkSizing {
                items: items - group.first_item,
                ..bounds.chunks
            });
        }
        match spans.last_mut() {
            Some(span)
                if span.items + group.items <= size && bounds.admits(span.start, group.end) =>
            {
                span.end = group.end;
                span.items += group.items;
            }
            _ => spans.push(*group),
        }
    }
    spans
}

fn error(line: u32, field: &str, message: String) -> JobError {
    JobError {
        line,
        field: field.to_owned(),
        message,
    }
}
