//! Identifies the caller of a request by its API key. Pure functions.

use std::sync::Arc;
use std::time::Duration;

use dappleyard_model::{Bounds, Configuration, KeyDigest, Tenant, TenantHeader};
use derive_more::{Display, Error};

#[derive(Debug, Clone, PartialEq)]
pub enum Caller {
    /// The configuration defines no tenants.
    TenantsDisabled,
    /// An anonymous caller on a public route.
    Anonymous,
    /// The tenant that holds the key.
    Tenant(Arc<Tenant>),
}

impl Caller {
    pub fn tenant(&self) -> Option<&Arc<Tenant>> {
        match self {
            Caller::Tenant(tenant) => Some(tenant),
            Caller::TenantsDisabled | Caller::Anonymous => None,
        }
    }

    /// Name of the tenant; empty if there is none.
    pub fn tenant_name(&self) -> &str {
        self.tenant().map_or("", |tenant| tenant.name.as_str())
    }

    /// Tenant header that is sent to the server.
    pub fn tenant_header(&self) -> TenantHeader<'_> {
        match self {
            Caller::TenantsDisabled => TenantHeader::Unchanged,
            Caller::Anonymous => TenantHeader::NoTenant,
            Caller::Tenant(tenant) => TenantHeader::Tenant(tenant.name.as_str()),
        }
    }
}

/// Reason for which a key is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum KeyRefusal {
    #[display("no tenant holds the key")]
    Unknown,
    /// The configuration is too old to decide: a newer one may have added or revoked the key.
    #[display("the configuration is too old to tell of the key")]
    Unverifiable,
}

/// How up to date a node's configuration is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigurationStatus {
    /// Age of the configuration; `None` if there is none.
    pub age: Option<Duration>,
    /// Whether the node hears at least half of the fleet.
    pub in_majority: bool,
}

impl ConfigurationStatus {
    /// Whether no newer configuration can be in force.
    fn is_current(&self, bounds: &Bounds) -> bool {
        let in_force = Duration::from_millis(bounds.config_apply_ms);
        self.age.is_some_and(|age| age < in_force)
    }

    /// Whether keys of this configuration may still be accepted. While no node reaches the store, no newer
    /// configuration can come into force; an isolated node cannot tell this from its own partition.
    fn may_accept(&self, bounds: &Bounds) -> bool {
        let limit = Duration::from_millis(bounds.revoke_ms);
        let recent = self.age.is_some_and(|age| age < limit);
        recent || (self.in_majority && !bounds.revoke_strict)
    }
}

/// Identifies the caller by the key of the request; `public` routes need no key.
pub fn identify(
    configuration: &Configuration,
    public: bool,
    key: Option<&KeyDigest>,
    status: ConfigurationStatus,
    bounds: &Bounds,
) -> Result<Caller, KeyRefusal> {
    let Some(tenants) = &configuration.tenants else {
        return Ok(Caller::TenantsDisabled);
    };
    let holder = key.and_then(|key| tenants.holder(key));
    match holder {
        Some(tenant) if status.may_accept(bounds) => Ok(Caller::Tenant(tenant.clone())),
        Some(_) if !public => Err(KeyRefusal::Unverifiable),
        None if !public && status.is_current(bounds) => Err(KeyRefusal::Unknown),
        None if !public => Err(KeyRefusal::Unverifiable),
        _ => Ok(Caller::Anonymous),
    }
}
