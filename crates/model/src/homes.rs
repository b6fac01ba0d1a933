//! Home regions: where a request may be served and stored.

use crate::configuration::{Configuration, Route};
use crate::place::{RegionName, Topology};
use crate::tenant::Tenant;

/// Regions to which the route and the tenant restrict a request; if both do, the intersection applies.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum HomeRegions {
    /// No restriction.
    #[default]
    Anywhere,
    /// Only these regions; empty if route and tenant have no region in common.
    Within(Vec<RegionName>),
}

impl HomeRegions {
    /// Home regions of a tenant's requests on a route.
    pub fn of(route: &Route, tenant: Option<&Tenant>) -> Self {
        let tenant = tenant.map_or(&[][..], |tenant| &tenant.home_regions);
        match (route.home_regions.as_slice(), tenant) {
            ([], []) => Self::Anywhere,
            (regions, []) | ([], regions) => Self::Within(regions.to_vec()),
            (regions, own) => {
                let both = regions.iter().filter(|region| own.contains(region));
                Self::Within(both.cloned().collect())
            }
        }
    }

    /// Home regions of a job's items, by the names of its route and tenant; unrestricted if the route is not configured.
    pub fn of_job(configuration: &Configuration, route: &str, tenant: &str) -> Self {
        let Some(route) = configuration.route_named(route) else {
            return Self::Anywhere;
        };
        let tenants = configuration.tenants.as_ref();
        let tenant = tenants.and_then(|tenants| tenants.named(tenant));
        Self::of(route, tenant.map(AsRef::as_ref))
    }

    /// Whether the request is restricted to certain regions.
    pub fn is_restricted(&self) -> bool {
        *self != Self::Anywhere
    }

    /// Whether a zone is allowed. A zone of unknown region is allowed only without restriction.
    pub fn allows_zone(&self, zone: &str, places: &Topology) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Within(_) => places
                .region(zone)
                .is_some_and(|region| self.allows_region(region)),
        }
    }

    /// Whether a region is allowed.
    pub fn allows_region(&self, region: &RegionName) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Within(regions) => regions.contains(region),
        }
    }
}

impl Configuration {
    /// Whether any route or tenant has home regions.
    pub fn has_home_regions(&self) -> bool {
        let mut tenants = self.tenants.iter().flat_map(|tenants| tenants.iter());
        self.routes
            .iter()
            .any(|route| !route.home_regions.is_empty())
            || tenants.any(|tenant| !tenant.home_regions.is_empty())
    }

    /// Home regions of each route of a host; empty if any of its routes is unrestricted. Tenants are not considered, since
    /// they are only known per request.
    pub fn home_regions_of_host(&self, host: &str) -> Vec<HomeRegions> {
        let homes: Vec<HomeRegions> = self
            .routes_of(host)
            .map(|route| HomeRegions::of(route, None))
            .collect();
        match homes.iter().all(HomeRegions::is_restricted) {
            true => homes,
            false => Vec::new(),
        }
    }

    /// Home regions that have no zone in the deployment, each with its path in the configuration.
    pub fn unknown_home_regions(&self, places: &Topology) -> Vec<(String, RegionName)> {
        let routes = self.routes.iter();
        let routes = routes.map(|route| (format!("routes.{}", route.name), &route.home_regions));
        let tenants = self.tenants.iter().flat_map(|tenants| tenants.iter());
        let tenants =
            tenants.map(|tenant| (format!("tenants.{}", tenant.name), &tenant.home_regions));
        let named = routes.chain(tenants);
        let known = |name: &RegionName| places.zones().any(|(_, region)| region == name);
        named
            .flat_map(|(place, regions)| {
                let unknown = regions.iter().filter(|name| !known(name));
                unknown
                    .map(|name| (format!("{place}.home_regions"), name.clone()))
                    .collect::<Vec<_>>()
            })
            .collect()
    }
}
