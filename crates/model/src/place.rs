//! Zones, their regions, and the distance between zones.

use std::borrow::Borrow;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::Display;

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct ZoneName(Arc<str>);

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct RegionName(Arc<str>);

impl ZoneName {
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

/// Distance between two zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Distance {
    /// The zones are the same.
    #[display("zone")]
    SameZone,
    /// Different zones of one region.
    #[display("region")]
    SameRegion,
    /// Zones of different regions, or a zone whose region is unknown.
    #[display("far")]
    OtherRegion,
}

/// The zones of a deployment and the region of each.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Topology {
    region_of: BTreeMap<ZoneName, RegionName>,
}

impl Topology {
    /// Region of a zone; `None` if the settings do not list the zone.
    pub fn region(&self, zone: &str) -> Option<&RegionName> {
        self.region_of.get(zone)
    }

    /// Distance between two zones. If the settings list no zones, all zones count as one region.
    pub fn distance(&self, from: &str, to: &str) -> Distance {
        if from == to {
            return Distance::SameZone;
        }
        if self.region_of.is_empty() {
            return Distance::SameRegion;
        }
        match (self.region(from), self.region(to)) {
            (Some(left), Some(right)) if left == right => Distance::SameRegion,
            _ => Distance::OtherRegion,
        }
    }

    /// Whether the deployment spans several regions.
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

impl FromIterator<(ZoneName, RegionName)> for Topology {
    fn from_iter<I: IntoIterator<Item = (ZoneName, RegionName)>>(zones: I) -> Self {
        Self {
            region_of: zones.into_iter().collect(),
        }
    }
}
