//! The regions in which a request may be served and kept. Pure.

use crate::configuration::{Configuration, Route};
use crate::place::{Places, RegionName};
use crate::tenant::Tenant;

/// Regions to which a request is bound by its route and its tenant; both bind where both name some.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Homes {
    /// Neither names any.
    #[default]
    Anywhere,
    /// These only; none where the regions of route and tenant have nothing in common.
    Within(Vec<RegionName>),
}

impl Homes {
    /// The homes of the requests of a tenant on a route.
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

    /// The homes of the items of a job, by the names that its row holds.
    pub fn of_job(configuration: &Configuration, route: &str, tenant: &str) -> Self {
        let Some(route) = configuration.route_named(route) else {
            return Self::Anywhere;
        };
        let tenants = configuration.tenants.as_ref();
        let tenant = tenants.and_then(|tenants| tenants.named(tenant));
        Self::of(route, tenant.map(AsRef::as_ref))
    }

    /// Whether there are any.
    pub fn bind(&self) -> bool {
        *self != Self::Anywhere
    }

    /// Whether a zone is in one of them. A zone whose region is not known is in none.
    pub fn allow(&self, zone: &str, places: &Places) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Within(_) => places
                .region(zone)
                .is_some_and(|region| self.allow_region(region)),
        }
    }

    /// Whether a region is one of them.
    pub fn allow_region(&self, region: &RegionName) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Within(regions) => regions.contains(region),
        }
    }
}

impl Configuration {
    /// Whether a route or a tenant has homes.
    pub fn has_homes(&self) -> bool {
        let mut tenants = self.tenants.iter().flat_map(|tenants| tenants.iter());
        self.routes
            .iter()
            .any(|route| !route.home_regions.is_empty())
            || tenants.any(|tenant| !tenant.home_regions.is_empty())
    }

    /// The homes of the routes of a host, where all of its routes have some. Those of tenants are not known
    /// before a request comes.
    pub fn homes_of_host(&self, host: &str) -> Vec<Homes> {
        let homes: Vec<Homes> = self
            .routes_of(host)
            .map(|route| Homes::of(route, None))
            .collect();
        match homes.iter().all(Homes::bind) {
            true => homes,
            false => Vec::new(),
        }
    }

    /// Homes that no zone of the deployment is in: the place in the configuration, and the name.
    pub fn unknown_homes(&self, places: &Places) -> Vec<(String, RegionName)> {
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
