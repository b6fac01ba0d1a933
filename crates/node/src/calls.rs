//! Dispatch of unary calls on links.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use dappleyard_batch::JobsApi;
use dappleyard_online::OnlineWorker;
use dappleyard_tables::{Lifecycle, NodeTables};
use dappleyard_transport::ServerStream;
use dappleyard_wire::messages::{Call, ModelEntry, ModelList, Reply, call, reply};
use dappleyard_wire::{ErrorKind, Failure};

/// Answers calls on one worker thread.
pub struct CallHandler {
    pub tables: Arc<NodeTables>,
    pub jobs: Rc<JobsApi>,
    /// Handles calls about at-most-once records.
    pub online: Rc<OnlineWorker>,
}

impl CallHandler {
    /// Answers one call on its stream; the answer is dropped when the caller's link is lost.
    pub async fn answer(&self, call: Call, stream: ServerStream) {
        stream.answer(self.dispatch(call)).await;
    }

    async fn dispatch(&self, call: Call) -> Result<Reply, Failure> {
        use call::Method;
        match &call.method {
            Some(Method::CellSync(_)) => {
                let answer = dappleyard_fleet::cell_sync(&self.tables);
                Ok(Reply {
                    result: Some(reply::Result::CellSync(answer)),
                })
            }
            Some(Method::ListModels(_)) => Ok(self.models()),
            Some(Method::RecordBegin(_) | Method::RecordSettle(_)) => {
                self.online.handle_record_call(call).await
            }
            Some(_) if self.refuses_calls() => Err(Failure::not_run(
                ErrorKind::NotReady,
                "the node does not take new calls at present; use another node",
            )),
            Some(_) => self.jobs.call(call).await,
            None => Err(Failure::not_run(
                ErrorKind::InvalidRequest,
                "the call names no method",
            )),
        }
    }

    fn refuses_calls(&self) -> bool {
        *self.tables.lifecycle.borrow() != Lifecycle::Ready
    }

    /// Services in the configuration, and those of servers in the directory.
    fn models(&self) -> Reply {
        let configuration = self.tables.configuration.current();
        let mut models: BTreeMap<String, ModelEntry> = BTreeMap::new();
        for entry in self.tables.directory.all() {
            let service = entry.service.to_string();
            models.entry(service.clone()).or_insert(ModelEntry {
                service,
                ..Default::default()
            });
        }
        for row in configuration.services.values() {
            let entry = ModelEntry {
                service: row.name.clone(),
                version: row.version.clone(),
                adapters: row.adapters.clone(),
            };
            models.insert(row.name.clone(), entry);
        }
        let list = ModelList {
            models: models.into_values().collect(),
        };
        Reply {
            result: Some(reply::Result::Models(list)),
        }
    }
}
