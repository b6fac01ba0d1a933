//! Output and error files of a job, read from the result objects of its committed chunks in order.

use dappleyard_wire::messages::{
    ChunkPhase, ChunkRow, FileData, FileRead, FileStat, FileState, JobPhase, JobRow,
};
use dappleyard_wire::{Failure, keys};

use super::{ERRORS_SUFFIX, JobsApi, OUTPUT_SUFFIX, check_name};
use crate::store;

/// Chunk rows per read.
const PAGE: usize = 256;

/// Kind of a result file. A result object holds the output lines first, then the error lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ResultFileKind {
    Output,
    Errors,
}

/// Section of a result object that belongs to a result file.
struct Segment {
    object: String,
    /// Offset in the object, bytes.
    object_offset: u64,
    /// Length, bytes.
    length: u64,
}

fn parse_result_file_id(file_id: &str) -> Option<(&str, ResultFileKind)> {
    let output = file_id.strip_suffix(OUTPUT_SUFFIX);
    let errors = file_id.strip_suffix(ERRORS_SUFFIX);
    output
        .map(|job| (job, ResultFileKind::Output))
        .or(errors.map(|job| (job, ResultFileKind::Errors)))
}

fn segment(row: &ChunkRow, file_kind: ResultFileKind) -> Segment {
    let (object_offset, length) = match file_kind {
        ResultFileKind::Output => (0, row.output_bytes),
        ResultFileKind::Errors => (row.output_bytes, row.error_bytes),
    };
    Segment {
        object: row.result_object.clone(),
        object_offset,
        length,
    }
}

impl JobsApi {
    /// Returns the state of a result file; `None` if the id is not that of a result file.
    pub(super) async fn stat_result(&self, call: &FileStat) -> Result<Option<FileState>, Failure> {
        let Some((job, file_kind)) = parse_result_file_id(&call.file_id) else {
            return Ok(None);
        };
        let row = self.result_job(&call.tenant, job).await?;
        let mut size = 0;
        self.visit_committed(job, |chunk| {
            size += segment(chunk, file_kind).length;
            true
        })
        .await?;
        let state = row.state.clone().unwrap_or_default();
        Ok(Some(FileState {
            file_id: call.file_id.clone(),
            filename: format!("{}.jsonl", call.file_id),
            purpose: "batch_output".to_owned(),
            size,
            created_unix_s: state.created_unix_s,
            sealed: is_ended(&row),
        }))
    }

    /// Reads from a result file; `None` if the id is not that of a result file. Until the job has
    /// ended, the file stops before the first uncommitted chunk, so that offsets stay valid.
    pub(super) async fn read_result(&self, call: &FileRead) -> Result<Option<FileData>, Failure> {
        let Some((job, file_kind)) = parse_result_file_id(&call.file_id) else {
            return Ok(None);
        };
        self.result_job(&call.tenant, job).await?;
        let mut offset = 0;
        let mut found = None;
        let mut more = false;
        self.visit_committed(job, |chunk| {
            let segment = segment(chunk, file_kind);
            let start = offset;
            offset += segment.length;
            if found.is_some() {
                more |= segment.length > 0;
            } else if call.offset < offset {
                found = Some((segment, call.offset - start));
            }
            !more
        })
        .await?;
        let Some((segment, segment_offset)) = found else {
            return Ok(Some(FileData {
                offset: call.offset,
                data: Vec::new(),
                end: true,
            }));
        };
        let length = (segment.length - segment_offset).min(u64::from(call.limit));
        let data = self.read_segment(&segment, segment_offset, length).await?;
        let segment_read = segment_offset + data.len() as u64 >= segment.length;
        Ok(Some(FileData {
            offset: call.offset,
            end: segment_read && !more,
            data,
        }))
    }

    async fn read_segment(
        &self,
        segment: &Segment,
        segment_offset: u64,
        length: u64,
    ) -> Result<Vec<u8>, Failure> {
        let from = segment.object_offset + segment_offset;
        let read = self.platform.objects.read(&segment.object, from, length);
        let data = read.await.map_err(|error| store::failure(&error))?;
        match data {
            Some(data) => Ok(data.bytes.to_vec()),
            None => Err(Failure::not_run(
                dappleyard_wire::ErrorKind::Internal,
                format!("result object {} is missing", segment.object),
            )),
        }
    }

    async fn result_job(&self, tenant: &str, job: &str) -> Result<JobRow, Failure> {
        check_name("the tenant", tenant)?;
        check_name("the file", job)?;
        Ok(self.job_row(tenant, job).await?.row)
    }

    /// Visits the leading committed chunks of a job in order until `visit` returns `false`.
    async fn visit_committed(
        &self,
        job: &str,
        mut visit: impl FnMut(&ChunkRow) -> bool,
    ) -> Result<(), Failure> {
        let prefix = format!("{}{job}/", keys::CHUNK_PREFIX);
        let mut after = String::new();
        loop {
            let rows = self.platform.tables.range(&prefix, &after, PAGE).await;
            let rows = rows.map_err(|error| store::failure(&error))?;
            let full = rows.len() == PAGE;
            for read in rows {
                let chunk = store::decode::<ChunkRow>(&read.key, &read.value, read.revision);
                let chunk = chunk.map_err(|error| store::failure(&error))?.row;
                if chunk.phase() != ChunkPhase::ChunkDone || !visit(&chunk) {
                    return Ok(());
                }
                after = read.key;
            }
            if !full {
                return Ok(());
            }
        }
    }
}

fn is_ended(row: &JobRow) -> bool {
    let phase = row.state.as_ref().map(|state| state.phase());
    matches!(
        phase,
        Some(JobPhase::JobCompleted | JobPhase::JobCancelled | JobPhase::JobFailed)
    )
}
