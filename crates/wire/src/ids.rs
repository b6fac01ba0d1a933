//! Identifiers as string newtypes, so that different kinds cannot be mixed up.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

macro_rules! identifiers {
    ($($(#[$doc:meta])* $name:ident;)*) => {
        $($(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str { &self.0 }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self { Self(Arc::from(text)) }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self { Self(Arc::from(text)) }
        }

        impl From<&String> for $name {
            fn from(text: &String) -> Self { Self(Arc::from(text.as_str())) }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str { &self.0 }
        })*
    };
}

identifiers! {
    /// A node of the system.
    NodeId;
    /// A server: one model engine on one accelerator.
    ServerId;
    /// A zone of a region.
    ZoneId;
    /// A region.
    RegionId;
    /// A model service, for example `fittings-llm`.
    ServiceId;
    /// A version of a service's model.
    VersionId;
    /// A tenant.
    TenantId;
    /// A batch job.
    JobId;
    /// A request, unique across the fleet.
    RequestId;
    /// A plan.
    PlanId;
}

impl RequestId {
    /// Generates a random request id of 32 hexadecimal digits.
    pub fn random() -> RequestId {
        RequestId::from(uuid::Uuid::new_v4().simple().to_string())
    }
}
