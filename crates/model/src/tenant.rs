//! Tenants: API keys, priorities and rate limits.

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

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct TenantName(Arc<str>);

impl Borrow<str> for TenantName {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl TenantName {
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

/// SHA-256 digest of an API key. The key itself is dropped when a request is decoded, so that it cannot reach a log, an
/// error or a stored row; the `Debug` output is redacted.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key as sent by a caller.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Compares in constant time.
    fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(redacted)")
    }
}

/// Rate limit of a tenant, over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Requests per second.
    pub per_s: f64,
    /// Burst size, in requests.
    pub burst: f64,
}

/// A tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Name as sent to servers.
    pub name: TenantName,
    /// Priority of its requests, which overrides that of the route; 0 is the highest.
    pub priority: Option<u32>,
    /// Rate limit; `None` means no limit.
    pub limit: Option<RateLimit>,
    /// Regions in which its requests may be served and stored; empty means any.
    pub home_regions: Vec<RegionName>,
}

/// Error: a key belongs to two tenants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DuplicateKey {
    /// Index of the key in the list of the tenant being added.
    pub position: usize,
    /// Tenant that already has the key.
    pub holder: TenantName,
}

/// Tenants of a configuration, indexed by key and name.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Tenants {
    all: Vec<Arc<Tenant>>,
    by_key: HashMap<KeyDigest, usize>,
    by_name: HashMap<TenantName, usize>,
}

impl Tenants {
    /// Adds a tenant with its keys.
    pub fn add(&mut self, tenant: Tenant, keys: &[KeyDigest]) -> Result<(), DuplicateKey> {
        let index = self.all.len();
        for (position, key) in keys.iter().enumerate() {
            let previous = self.by_key.insert(*key, index);
            if let Some(holder) = previous.filter(|previous| *previous != index) {
                let holder = self.all[holder].name.clone();
                return Err(DuplicateKey { position, holder });
            }
        }
        self.by_name.insert(tenant.name.clone(), index);
        self.all.push(Arc::new(tenant));
        Ok(())
    }

    /// Finds a tenant by key.
    pub fn holder(&self, key: &KeyDigest) -> Option<&Arc<Tenant>> {
        let (stored, index) = self.by_key.get_key_value(key)?;
        stored.matches(key).then(|| &self.all[*index])
    }

    /// Finds a tenant by name.
    pub fn named(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.by_name.get(name).map(|index| &self.all[*index])
    }

    pub fn iter(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.all.iter()
    }
}
