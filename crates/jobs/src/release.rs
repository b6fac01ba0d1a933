//! Gives a job back before the process ends, so that another node goes on with it at once.

use bytes::Bytes;
use dappleyard_model::{StoreError, Transaction};
use prost::Message;

use crate::keys::{CHUNK_BYTES, job_key, partial_key};
use crate::messages::StoredPartial;
use crate::owned::{OwnedJob, Progress};
use crate::runner::Runner;

/// Most rows of unfinished text in the release of a job.
const PARTIAL_ROWS: usize = 80;
/// Most bytes of unfinished text in the release of a job.
const PARTIAL_BYTES: usize = 600_000;

/// Stops the runs of a job and gives it back, with the text of its unfinished items. Finished
/// results must have been committed.
pub(crate) async fn release(runner: &Runner, job: &OwnedJob) -> Result<(), StoreError> {
    let transaction = {
        let state = job.state.borrow();
        let mut row = state.row.clone();
        row.owner = String::new();
        row.life = 0;
        row.epoch += 1;
        let mut transaction = Transaction::default().expect(job_key(&job.job), state.revision);
        let mut bytes = 0;
        for (index, item) in state.items.iter().enumerate() {
            let unfinished = item.progress != Progress::Finished;
            let Some(last_event) = item.last_event.filter(|_| unfinished) else {
                continue;
            };
            let partial = StoredPartial {
                last_event,
                text: item.text.clone(),
                failures: item.failures,
            };
            let value = Bytes::from(partial.encode_to_vec());
            bytes += value.len();
            let chunks = value.len().div_ceil(CHUNK_BYTES);
            if bytes > PARTIAL_BYTES || transaction.puts.len() + chunks > PARTIAL_ROWS {
                break;
            }
            for chunk in 0..chunks {
                let from = chunk * CHUNK_BYTES;
                let to = value.len().min(from + CHUNK_BYTES);
                let key = partial_key(&job.job, index, chunk);
                transaction = transaction.put(key, value.slice(from..to));
            }
            row.has_partials = true;
        }
        transaction.put(job_key(&job.job), row.encode_to_vec())
    };
    let outcome = runner.store.transact(&transaction).await;
    runner.node.log.write("job_released", || {
        serde_json::json!({"job": job.job, "partials": transaction.puts.len() - 1,
            "outcome": outcome.as_ref().map_or_else(ToString::to_string, |_| "released".to_owned())})
    });
    match outcome {
        Ok(_) | Err(StoreError::Conflict { .. }) => Ok(()),
        Err(error) => Err(error),
    }
}
