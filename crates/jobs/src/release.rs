//! Releases a job on shutdown, so that another node can resume it without waiting for a timeout.

use dappleyard_model::{StoreError, Transaction};
use prost::Message;

use crate::keys::job_key;
use crate::owned::OwnedJob;
use crate::partials::add_segments;
use crate::runner::Runner;

/// Clears the owner of a job and saves the output of its unfinished items. Runs must have been cancelled and
/// finished results committed before.
pub(crate) async fn release(runner: &Runner, job: &OwnedJob) -> Result<(), StoreError> {
    let transaction = {
        let state = job.state.borrow();
        let mut row = state.row.clone();
        row.owner = String::new();
        row.life = 0;
        row.epoch += 1;
        let transaction = Transaction::default().expect(job_key(&job.job), state.revision);
        // The segments belong to the epoch in which their output was produced.
        let epoch = state.row.epoch;
        let (transaction, saves) = add_segments(&job.job, epoch, &state.items, transaction);
        row.has_partials |= !saves.is_empty();
        transaction.put(job_key(&job.job), row.encode_to_vec())
    };
    let outcome = runner.store.transact(&transaction).await;
    runner.node.log.write("job_released", || {
        serde_json::json!({"job": job.job, "partials": transaction.puts.len() - 1,
            "outcome": outcome.as_ref().map_or_else(ToString::to_string, |_| "released".to_owned())})
    });
    match outcome {
        // A conflict means that the row has changed, by an earlier attempt with unknown outcome or by another node, so
        // there is nothing left to release.
        Ok(_) | Err(StoreError::Conflict { .. }) => Ok(()),
        Err(error) => Err(error),
    }
}
