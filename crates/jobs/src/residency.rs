//! Data residency: the regions in which jobs and items may run.

use dappleyard_model::{HomeRegions, Route};

use crate::messages::JobRow;
use crate::runner::Runner;

impl Runner {
    /// Regions in which the items of a tenant on a route may run.
    pub(crate) fn item_homes(&self, route: &Route, tenant: &str) -> HomeRegions {
        let configuration = self.node.view.configuration();
        let tenants = configuration
            .as_ref()
            .and_then(|current| current.tenants.as_ref());
        let tenant = tenants.and_then(|tenants| tenants.named(tenant));
        HomeRegions::of(route, tenant.map(AsRef::as_ref))
    }

    /// Regions whose nodes may own a job.
    pub(crate) fn job_homes(&self, row: &JobRow) -> HomeRegions {
        let configuration = self.node.view.configuration();
        let configuration = configuration.as_deref();
        configuration.map_or(HomeRegions::Anywhere, |current| {
            HomeRegions::of_job(current, &row.route, &row.tenant)
        })
    }
}
