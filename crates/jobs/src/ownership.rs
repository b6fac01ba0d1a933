//! Job ownership: claims jobs whose owner has failed and drops jobs that another node has claimed.

use std::rc::Rc;

use dappleyard_clock::Instant;
use dappleyard_cluster::PeerStatus;
use dappleyard_ingress::Metrics;
use dappleyard_model::{HomeRegions, StoreError, Transaction};
use prost::Message;

use crate::claiming::{ClaimContext, may_claim, may_claim_remote, preferred_worker};
use crate::kept::KeptBytes;
use crate::keys::job_key;
use crate::messages::JobRow;
use crate::owned::{Item, OwnedJob};
use crate::partials;
use crate::read::{read_items, retry};
use crate::run::prompt_parts;
use crate::runner::{ACTIVE_TICK, Runner};
use crate::table::CachedJob;

impl Runner {
    /// Reconciles the owned jobs with the job rows.
    pub(crate) fn reconcile(self: &Rc<Self>) {
        let own = (&self.node.settings.name, self.node.life);
        self.owned.borrow_mut().retain(|name, job| {
            let known = self.table.get(name);
            let kept = known.is_some_and(|known| {
                let row = &known.row;
                // The table may lag behind this node's own commits.
                let behind = known.revision < job.state.borrow().revision;
                behind || (row.is_open() && (&row.owner, row.life) == own)
            });
            let kept = kept && !job.state.borrow().lost;
            let done = !job.state.borrow().row.is_open();
            if !kept && !done {
                log_taken(self, name, job);
                let mut taken = self.taken.borrow_mut();
                taken.insert(name.clone(), Instant::now());
            }
            if !kept || done {
                job.mark_lost();
            }
            kept && !done
        });
        let open = self.table.select(JobRow::is_open);
        self.suspected
            .borrow_mut()
            .retain(|name, _| open.iter().any(|(job, _)| job == name));
        self.taken
            .borrow_mut()
            .retain(|name, _| open.iter().any(|(job, _)| job == name));
        for (name, known) in open {
            if self.owned.borrow().contains_key(&name)
                || self.in_transition.borrow().contains(&name)
            {
                continue;
            }
            if (&known.row.owner, known.row.life) == own {
                self.spawn_load(name, known);
            } else if self.should_claim(&name, &known.row) {
                self.spawn_claim(name, known);
            }
        }
    }

    fn should_claim(&self, job: &str, row: &JobRow) -> bool {
        if !self.table.is_fresh() || self.node.is_leaving() {
            return false;
        }
        let now = Instant::now();
        let owner = (!row.owner.is_empty()).then(|| self.node.peers.status(&row.owner, row.life));
        let mut suspected = self.suspected.borrow_mut();
        if matches!(owner, Some(PeerStatus::Ready | PeerStatus::Present)) {
            suspected.remove(job);
            return false;
        }
        let since = *suspected.entry(job.to_owned()).or_insert(now);
        let context = ClaimContext {
            owner,
            suspected_for: now.duration_since(since),
            stable_for: now.duration_since(self.stable_since.get()),
            store_reachable: !self.node.health.is_unavailable(),
            since_lost: self.taken.borrow().get(job).map(Instant::elapsed),
        };
        let too_early_for_remote = self.is_remote(row) && !may_claim_remote(context.stable_for);
        may_claim(context)
            && !too_early_for_remote
            && self.is_preferred(job, row, &self.job_homes(row))
    }

    /// Whether a job was accepted in another region.
    fn is_remote(&self, row: &JobRow) -> bool {
        let settings = &self.node.settings;
        let region = row.region.as_deref();
        region.is_some_and(|region| {
            !self
                .node
                .view
                .zone_distances()
                .is_in(&settings.zone, region)
        })
    }

    /// Whether this node is the preferred worker for a job.
    pub(crate) fn is_preferred(&self, job: &str, row: &JobRow, homes: &HomeRegions) -> bool {
        let mut workers = self.node.peers.workers(true);
        let zone_distances = self.node.view.zone_distances();
        let region = row.region.as_deref();
        let is_home = |zone: &str| region.is_some_and(|region| zone_distances.is_in(zone, region));
        workers.retain(|worker| {
            homes.allows_zone(&worker.zone, zone_distances.places()) || is_home(&worker.zone)
        });
        let preferred_worker = preferred_worker(job, &workers, is_home);
        preferred_worker.is_some_and(|worker| worker.name == self.node.settings.name)
    }

    fn spawn_claim(self: &Rc<Self>, name: String, known: CachedJob) {
        self.in_transition.borrow_mut().insert(name.clone());
        let runner = self.clone();
        tokio::task::spawn_local(async move {
            let mut row = JobRow::clone(&known.row);
            let previous = std::mem::replace(&mut row.owner, runner.node.settings.name.clone());
            row.life = runner.node.life;
            row.epoch += 1;
            let key = job_key(&name);
            let transaction = Transaction::default()
                .expect(key.clone(), known.revision)
                .put(key, row.encode_to_vec());
            let outcome = runner.store.transact(&transaction).await;
            runner.node.log.write("job_claim", || {
                serde_json::json!({"job": name, "from": previous, "epoch": row.epoch,
                    "outcome": outcome.as_ref().map_or_else(ToString::to_string, |_| "claimed".to_owned())})
            });
            match outcome {
                Ok(committed) => {
                    Metrics::count(&runner.node.metrics.jobs_claimed);
                    runner.table.put(&name, row, committed.revision);
                }
                Err(StoreError::Conflict { rows }) => {
                    // Another node was first. Updating the table at once avoids further attempts until the change
                    // feed catches up.
                    runner.table.put_from_conflict(&name, &rows);
                    runner.suspected.borrow_mut().remove(&name);
                }
                // Logged above; the claim is retried.
                Err(_) => {}
            }
            runner.in_transition.borrow_mut().remove(&name);
            runner.wake.notify_one();
        });
    }

    fn spawn_load(self: &Rc<Self>, name: String, known: CachedJob) {
        self.in_transition.borrow_mut().insert(name.clone());
        let runner = self.clone();
        tokio::task::spawn_local(async move {
            match runner.load(&name, &known.row).await {
                Ok((items, kept)) => {
                    let row = JobRow::clone(&known.row);
                    let job = OwnedJob::new(&name, row, known.revision, items, kept);
                    let mut owned = runner.owned.borrow_mut();
                    owned.insert(name.clone(), Rc::new(job));
                }
                Err(error) => {
                    runner.node.log.write(
                        "job_load_failed",
                        || serde_json::json!({"job": name, "cause": error.to_string()}),
                    );
                    tokio::time::sleep(ACTIVE_TICK).await;
                }
            }
            runner.in_transition.borrow_mut().remove(&name);
            runner.wake.notify_one();
        });
    }

    async fn load(&self, name: &str, row: &JobRow) -> Result<(Vec<Item>, KeptBytes), StoreError> {
        let (stored, kept) = match self.table.take_stashed_items(name) {
            Some(stashed) => stashed,
            None => {
                let stored = retry(|| read_items(self.store.as_ref(), name)).await?;
                let kept = self.table.kept.keep(&stored);
                (stored, kept)
            }
        };
        if stored.len() as u64 != row.total {
            return Err(StoreError::Unavailable {
                reason: format!("{} of {} items", stored.len(), row.total),
            });
        }
        let mut items: Vec<Item> = stored
            .into_iter()
            .enumerate()
            .map(|(index, item)| {
                let parts = prompt_parts(self, &item, &row.host);
                Item::new(item, &parts, row, row.is_listed(index))
            })
            .collect();
        if row.has_partials {
            partials::load(self.store.as_ref(), name, &mut items).await?;
        }
        Ok((items, kept))
    }
}

/// Records that another node owns a job on which this node was at work.
fn log_taken(runner: &Runner, name: &str, job: &OwnedJob) {
    let Some(known) = runner.table.get(name).filter(|known| known.row.is_open()) else {
        return;
    };
    Metrics::count(&runner.node.metrics.jobs_lost);
    runner.node.log.write("job_taken", || {
        let row = &known.row;
        serde_json::json!({"job": name, "epoch": job.state.borrow().row.epoch, "running": job.running(),
            "now_owner": row.owner, "now_epoch": row.epoch})
    });
}
