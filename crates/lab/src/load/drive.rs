//! Runs the callers on dedicated threads; arrivals are divided between the threads by index.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use actix_rt::Arbiter;
use futures::future::join_all;
use tokio::sync::oneshot;

use super::batch::BatchCallers;
use super::client::client;
use super::online::OnlineCallers;
use super::plan::LoadPlan;
use crate::recorder::Recorder;
use crate::scenario::BatchScenario;

const CALLER_THREADS: usize = 2;

/// Client behavior that faults switch on and off.
#[derive(Debug, Default)]
pub struct ClientBehavior {
    /// Clients send at-most-once requests and jobs twice.
    pub resend: AtomicBool,
    /// Clients cancel jobs that are finalizing or at least half complete.
    pub cancel_committing: AtomicBool,
}

/// Parameters of the callers.
#[derive(Clone)]
pub struct LoadContext {
    pub plan: Arc<LoadPlan>,
    pub recorder: Recorder,
    /// Start of the load on the run's clock.
    pub start: Duration,
    pub give_up_at: Duration,
    pub reread_at: Duration,
    pub sidecars: Vec<String>,
    /// Model service of online requests.
    pub service: String,
    /// Model service of batch items.
    pub batch_service: String,
    /// Versions that may be loaded during the run.
    pub versions: Vec<String>,
    pub batch: BatchScenario,
    pub client_behavior: Arc<ClientBehavior>,
    pub seed: u64,
}

/// Running callers.
pub struct Callers {
    arbiters: Vec<Arbiter>,
    finished: Vec<oneshot::Receiver<()>>,
}

impl Callers {
    pub fn start(context: &LoadContext) -> Callers {
        let mut callers = Callers {
            arbiters: Vec::new(),
            finished: Vec::new(),
        };
        for thread in 0..CALLER_THREADS {
            let arbiter = Arbiter::new();
            for kind in [LoadKind::Online, LoadKind::Batch] {
                let (done, finished) = oneshot::channel();
                let context = context.clone();
                arbiter.spawn_fn(move || {
                    actix_rt::spawn(async move {
                        match kind {
                            LoadKind::Online => drive_online(context, thread).await,
                            LoadKind::Batch => drive_batch(context, thread).await,
                        }
                        let _ = done.send(());
                    });
                });
                callers.finished.push(finished);
            }
            callers.arbiters.push(arbiter);
        }
        callers
    }

    /// Waits until all requests and jobs have ended, then stops the threads.
    pub async fn finish(self) {
        for finished in self.finished {
            let _ = finished.await;
        }
        for arbiter in self.arbiters {
            arbiter.stop();
        }
    }
}

#[derive(Clone, Copy)]
enum LoadKind {
    Online,
    Batch,
}

async fn sleep_until(context: &LoadContext, at: Duration) {
    let due = context.recorder.clock.instant(context.start + at);
    tokio::time::sleep_until(due.into()).await;
}

async fn drive_online(context: LoadContext, thread: usize) {
    let callers = Rc::new(OnlineCallers {
        http: client(),
        recorder: context.recorder.clone(),
        sidecars: Rc::new(context.sidecars.clone()),
        service: context.service.clone(),
        versions: context.versions.clone(),
        seed: context.seed,
    });
    let mut calls = Vec::new();
    let assigned_here = |index: usize| index % CALLER_THREADS == thread;
    for (index, arrival) in context.plan.online.iter().enumerate() {
        if !assigned_here(index) {
            continue;
        }
        sleep_until(&context, arrival.at).await;
        let (callers, plan) = (callers.clone(), context.plan.clone());
        let always_resend = context.client_behavior.resend.load(Ordering::Relaxed);
        calls.push(actix_rt::spawn(async move {
            callers.call(&plan.online[index], always_resend).await;
        }));
    }
    join_all(calls).await;
}

async fn drive_batch(context: LoadContext, thread: usize) {
    let (resending, cancelling) = (
        context.client_behavior.clone(),
        context.client_behavior.clone(),
    );
    let callers = Rc::new(BatchCallers {
        http: client(),
        recorder: context.recorder.clone(),
        sidecars: Rc::new(context.sidecars.clone()),
        service: context.batch_service.clone(),
        versions: context.versions.clone(),
        batch: context.batch.clone(),
        give_up_at: context.give_up_at,
        reread_at: context.reread_at,
        always_resend: Rc::new(move || resending.resend.load(Ordering::Relaxed)),
        cancel_committing: Rc::new(move || cancelling.cancel_committing.load(Ordering::Relaxed)),
    });
    let mut jobs = Vec::new();
    for (index, arrival) in context.plan.jobs.iter().enumerate() {
        if index % CALLER_THREADS != thread {
            continue;
        }
        sleep_until(&context, arrival.at).await;
        let (callers, plan) = (callers.clone(), context.plan.clone());
        jobs.push(actix_rt::spawn(async move {
            callers.run(&plan.jobs[index]).await;
        }));
    }
    join_all(jobs).await;
}
