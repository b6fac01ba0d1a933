//! HTTP client of the object store.

use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use awc::http::Method;
use bytes::Bytes;
use serde::Serialize;

use super::http::{Answer, Call, Effect, Http, unanswered};
use super::protocol::{ObjectBody, ObjectPartQuery, ObjectQuery, RangeQuery};
use crate::objects::{ObjectData, ObjectStore};
use crate::tables::StoreError;

/// [`ObjectStore`] over HTTP.
pub(super) struct HttpObjectStore {
    http: Rc<Http>,
    base: String,
}

impl HttpObjectStore {
    pub(super) fn new(http: Rc<Http>, base: &str) -> HttpObjectStore {
        HttpObjectStore {
            http,
            base: base.trim_end_matches('/').to_owned(),
        }
    }

    async fn call<Q: Serialize>(
        &self,
        method: Method,
        query: &Q,
        body: Bytes,
        effect: Effect,
    ) -> Result<Answer, StoreError> {
        let call = Call {
            method,
            url: &format!("{}/object", self.base),
            query,
            body,
            effect,
            extra: Duration::ZERO,
        };
        self.http.call(call).await
    }
}

fn object_query(name: &str) -> ObjectQuery {
    ObjectQuery {
        name: name.to_owned(),
    }
}

#[async_trait(?Send)]
impl ObjectStore for HttpObjectStore {
    async fn create(&self, name: &str, bytes: Bytes) -> Result<(), StoreError> {
        self.call(Method::PUT, &object_query(name), bytes, Effect::Write)
            .await
            .map(drop)
    }

    async fn read(
        &self,
        name: &str,
        offset: u64,
        limit: u64,
    ) -> Result<Option<ObjectData>, StoreError> {
        let query = ObjectPartQuery {
            name: name.to_owned(),
            offset,
            limit,
        };
        let answer = self
            .call(Method::GET, &query, Bytes::new(), Effect::Read)
            .await?;
        let Some(size) = answer.object_size else {
            return Ok(None);
        };
        // The HTTP client treats a connection that breaks within a body as its end.
        let expected = size.saturating_sub(offset).min(limit);
        if answer.bytes.len() as u64 != expected {
            let read = answer.bytes.len();
            return Err(unanswered(
                Effect::Read,
                format!("{read} of {expected} bytes of {name} were read"),
            ));
        }
        Ok(Some(ObjectData {
            bytes: answer.bytes,
            size,
        }))
    }

    async fn delete(&self, name: &str) -> Result<(), StoreError> {
        self.call(
            Method::DELETE,
            &object_query(name),
            Bytes::new(),
            Effect::Write,
        )
        .await
        .map(drop)
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<(String, u64)>, StoreError> {
        let query = RangeQuery {
            prefix: prefix.to_owned(),
            after: after.to_owned(),
            limit,
        };
        let url = format!("{}/list", self.base);
        let objects: Vec<ObjectBody> = self.http.read(&url, &query, Duration::ZERO).await?;
        Ok(objects
            .into_iter()
            .map(|object| (object.name, object.size))
            .collect())
    }
}
