//! Checking of a whole input file, and cutting of it into chunks.
//!
//! The file is read once, line by line. Held at the same time are one line, a hash of each item's
//! name and the places of small groups of items, about 20 bytes an item.

use std::collections::HashSet;

use dappleyard_decide::chunks::{self, ChunkSizing};
use dappleyard_store::{ObjectStore, StoreError};
use dappleyard_wire::hash::hash_bytes;
use dappleyard_wire::messages::JobError;

use super::item::parse;
use super::lines::{Line, LineReader};
use super::parts::PartIndex;

/// Errors reported for one job.
const MAXIMUM_ERRORS: usize = 20;

/// What an input file must keep to, and how it is cut.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bounds {
    /// Endpoint of all items.
    pub endpoint: String,
    /// Longest line, bytes.
    pub line_bytes: usize,
    /// Most items.
    pub items: u32,
    /// Most bytes of a chunk that has more than one item.
    pub chunk_bytes: u64,
    /// Sizing of chunks; `items` is filled in once it is known.
    pub chunks: ChunkSizing,
}

/// Place of a chunk in the input.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// First byte.
    pub start: u64,
    /// Byte after the last.
    pub end: u64,
    /// First item.
    pub first_item: u32,
    /// Items.
    pub items: u32,
}

/// What the reading of an input gave.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Checked {
    /// What is wrong, by line and field; the first few problems.
    pub errors: Vec<JobError>,
    /// Items.
    pub items: u32,
    /// The one service that all items name.
    pub service: String,
    /// Chunks, in order; of no use when there are errors.
    pub chunks: Vec<Span>,
}

/// Reads and checks a whole input.
///
/// # Errors
/// Only those of the store: what is wrong with the input stands in the result.
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

/// State of a check.
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

    /// Takes a line; `false` when no more need be read.
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

    /// Adds a good line to the last small group, or begins a new one.
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

/// Merges neighbouring groups into chunks, each sized by what is left of the job.
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
