//! HTTP client of the machine list.

use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;

use super::http::Http;
use crate::machines::{Machine, MachineList};
use crate::tables::StoreError;

/// [`MachineList`] over HTTP.
pub(super) struct HttpMachineList {
    http: Rc<Http>,
    url: String,
}

impl HttpMachineList {
    pub(super) fn new(http: Rc<Http>, url: &str) -> HttpMachineList {
        HttpMachineList {
            http,
            url: url.to_owned(),
        }
    }
}

#[async_trait(?Send)]
impl MachineList for HttpMachineList {
    async fn machines(&self) -> Result<Vec<Machine>, StoreError> {
        self.http.read(&self.url, &(), Duration::ZERO).await
    }
}
