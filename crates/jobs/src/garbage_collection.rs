//! Deletes the rows of closed jobs after their retention period, which starts with the acceptance of the job.

use std::rc::Rc;
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_model::{HomeRegions, RowKey, StoreError, Transaction};

use crate::keys::{
    ITEMS_TABLE, PARTIALS_TABLE, RESULTS_TABLE, job_key, partition, range_end, range_start,
};
use crate::runner::Runner;

const GC_INTERVAL: Duration = Duration::from_secs(10);
/// Added to the retention period of results.
const RETENTION_MARGIN_MS: u64 = 60_000;
/// Number of rows that one transaction deletes.
const GC_BATCH_ROWS: usize = 90;

impl Runner {
    pub(crate) fn collect_garbage(self: &Rc<Self>) {
        if self.last_gc.get().elapsed() < GC_INTERVAL {
            return;
        }
        self.last_gc.set(Instant::now());
        let retention_ms = self.node.settings.bounds.status_ms + RETENTION_MARGIN_MS;
        let Some(now_ms) = self.table.now_ms() else {
            return;
        };
        let old = self
            .table
            .select(|row| !row.is_open() && row.accepted_ms + retention_ms < now_ms);
        for (name, known) in old {
            if self.table.is_fresh() && self.is_preferred(&name, &known.row, &HomeRegions::Anywhere)
            {
                let runner = self.clone();
                tokio::task::spawn_local(async move {
                    // Rows that could not be deleted are retried by the next collection.
                    let _ = runner.remove_job_rows(&name, known.revision).await;
                });
            }
        }
    }

    /// Each removal expects the job's row, since one without an answer may be done when the job is there anew.
    async fn remove_job_rows(&self, name: &str, revision: u64) -> Result<(), StoreError> {
        let part = partition(name);
        let unchanged_job = || Transaction::default().expect(job_key(name), revision);
        for table in [RESULTS_TABLE, PARTIALS_TABLE, ITEMS_TABLE] {
            loop {
                let (start, end) = (range_start(name), range_end(name));
                let read = self
                    .store
                    .read(table, &part, &start, &end, GC_BATCH_ROWS)
                    .await?;
                if read.rows.is_empty() {
                    break;
                }
                let removal = read.rows.into_iter().fold(unchanged_job(), |removal, row| {
                    removal.remove(RowKey::new(table, part.clone(), row.key))
                });
                self.store.transact(&removal).await?;
            }
        }
        // The job's row is deleted last: after an interruption, the next collection still finds the job.
        let removal = unchanged_job().remove(job_key(name));
        self.store.transact(&removal).await.map(|_| ())
    }
}
