//! Gives a job back before the process ends, so that another node goes on with it at once.

use dappleyard_model::{StoreError, Transaction};
use prost::Message;

use crate::keys::job_key;
use crate::owned::OwnedJob;
use crate::partials::add_pieces;
use crate::runner::Runner;

/// Stops the runs of a job and gives it back, with the text of its unfinished items. Finished
/// results must have been committed.
pub(crate) async fn release(runner: &Runner, job: &OwnedJob) -> Result<(), StoreError> {
    let transaction = {
        let state = job.state.borrow();
        let mut row = state.row.clone();
        row.owner = String::new();
        row.life = 0;
        row.epoch += 1;
        let transaction = Transaction::default().expect(job_key(&job.job), state.revision);
        // The pieces belong to the epoch in which their text came.
        let epoch = state.row.epoch;
        let (transaction, marks) = add_pieces(&job.job, epoch, &state.items, transaction);
        row.has_partials |= !marks.is_empty();
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
