//! Where nodes and servers stand: zones, each in one region, and how far two of them are apart.

use std::borrow::Borrow;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::Display;

/// Name of a zone.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct ZoneName(Arc<str>);

/// Name of a region.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct RegionName(Arc<str>);

impl ZoneName {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for ZoneName {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl From<&str> for RegionName {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl Borrow<str> for ZoneName {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl FromStr for ZoneName {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.into()))
    }
}

impl RegionName {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for RegionName {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.into()))
    }
}

/// How far two zones are apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Distance {
    /// They are the same zone.
    #[display("zone")]
    SameZone,
    /// They are two zones of one region.
    #[display("region")]
    SameRegion,
    /// They are in different regions, or one of them is in no region that is known.
    #[display("far")]
    OtherRegion,
}

/// The zones of a deployment and the region of each.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Places {
    region_of: BTreeMap<ZoneName, RegionName>,
}

impl Places {
    /// The region of a zone; `None` where the settings do not name the zone.
    pub fn region(&self, zone: &str) -> Option<&RegionName> {
        self.region_of.get(zone)
    }

    /// How far two zones are apart. Where the settings name no region at all, all zones are one region.
    pub fn distance(&self, from: &str, to: &str) -> Distance {
        if from == to {
            return Distance::SameZone;
        }
        if self.region_of.is_empty() {
            return Distance::SameRegion;
        }
        match (self.region(from), self.region(to)) {
            (Some(one), Some(other)) if one == other => Distance::SameRegion,
            _ => Distance::OtherRegion,
        }
    }

    /// Whether there is more than one region.
    pub fn has_regions(&self) -> bool {
        let mut regions = self.region_of.values();
        let first = regions.next();
        regions.any(|region| Some(region) != first)
    }

    /// All zones and their regions.
    pub fn zones(&self) -> impl Iterator<Item = (&ZoneName, &RegionName)> {
        self.region_of.iter()
    }
}

impl FromIterator<(ZoneName, RegionName)> for Places {
    fn from_iter<I: IntoIterator<Item = (ZoneName, RegionName)>>(zones: I) -> Self {
        Self {
            region_of: zones.into_iter().collect(),
        }
    }
}
