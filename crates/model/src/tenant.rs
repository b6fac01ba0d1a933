//! Tenants of the configuration: their keys, their rank and how much they may ask.

use std::borrow::Borrow;
use std::collections::HashMap;
use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::Display;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::place::RegionName;

/// Name of a tenant.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct TenantName(Arc<str>);

impl Borrow<str> for TenantName {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl TenantName {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for TenantName {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.into()))
    }
}

/// Digest of an API key. The key itself is dropped where it is decoded, so that no log line, error or
/// stored row can hold it; a digest prints as nothing.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key as a caller sends it.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Whether two digests are alike, in a time that does not depend on where they differ.
    fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(redacted)")
    }
}

/// Requests that a tenant may send, over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Requests a second.
    pub per_s: f64,
    /// Requests beyond that at once.
    pub burst: f64,
}

/// One tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Name, as servers are told it.
    pub name: TenantName,
    /// Rank of its requests; it goes before the rank of the route. 0 is the highest.
    pub priority: Option<u32>,
    /// What it may ask; `None` is without limit.
    pub limit: Option<RateLimit>,
    /// Regions in which its requests may be served and kept; empty is without bound.
    pub home_regions: Vec<RegionName>,
}

/// A key that two tenants hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SharedKey {
    /// Place of the key among those of the later tenant.
    pub position: usize,
    /// The tenant that holds it already.
    pub holder: TenantName,
}

/// All tenants of one configuration, found by their keys.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Tenants {
    all: Vec<Arc<Tenant>>,
    by_key: HashMap<KeyDigest, usize>,
    by_name: HashMap<TenantName, usize>,
}

impl Tenants {
    /// Adds a tenant and its keys.
    pub fn add(&mut self, tenant: Tenant, keys: &[KeyDigest]) -> Result<(), SharedKey> {
        let index = self.all.len();
        for (position, key) in keys.iter().enumerate() {
            let before = self.by_key.insert(*key, index);
            if let Some(holder) = before.filter(|before| *before != index) {
                let holder = self.all[holder].name.clone();
                return Err(SharedKey { position, holder });
            }
        }
        self.by_name.insert(tenant.name.clone(), index);
        self.all.push(Arc::new(tenant));
        Ok(())
    }

    /// The tenant that holds a key.
    pub fn holder(&self, key: &KeyDigest) -> Option<&Arc<Tenant>> {
        let (held, index) = self.by_key.get_key_value(key)?;
        held.matches(key).then(|| &self.all[*index])
    }

    /// The tenant of a name.
    pub fn named(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.by_name.get(name).map(|index| &self.all[*index])
    }

    /// All tenants.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.all.iter()
    }
}
