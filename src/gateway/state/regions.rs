//! The regions of the zones, and which targets a request may be sent to by its region restrictions.

use std::sync::Arc;

use crate::gateway::config::Config;
use crate::gateway::regions::{self, AllowedZones, RegionTable};
use crate::gateway::request::ClientRequest;
use crate::gateway::state::GatewayState;
use crate::gateway::targets::TargetKey;

impl GatewayState {
    /// Sets the regions of the zones.
    pub fn with_regions(mut self, table: RegionTable) -> Self {
        self.regions = Arc::new(table).into();
        self
    }

    /// Replaces the regions of the zones if they differ, for example when the settings are reloaded,
    /// and logs what follows for the active configuration.
    pub fn set_regions(&self, table: RegionTable) {
        if **self.regions.load() == table {
            return;
        }
        regions::log_table(&table);
        regions::log_findings(&self.config.load(), &table);
        self.regions.store(Arc::new(table));
    }

    /// Returns the zones whose targets the active configuration allows for a request.
    pub fn allowed_zones(&self, request: &ClientRequest) -> AllowedZones {
        self.zones_by(&self.config.load(), request)
    }

    /// Whether `config` allows a request to be sent to the region of a target. A target that is no
    /// longer listed is in none.
    pub fn allows_region(
        &self,
        config: &Config,
        request: &ClientRequest,
        target: TargetKey,
    ) -> bool {
        let zones = self.zones_by(config, request);
        if !zones.is_restricted() {
            return true;
        }
        let zone = self.with_target(target, |target| target.zone);
        zone.is_some_and(|zone| zones.contains(zone))
    }

    fn zones_by(&self, config: &Config, request: &ClientRequest) -> AllowedZones {
        let regions = request.regions_by(config);
        match regions.is_restricted() {
            true => regions.zones(&self.regions.load()),
            false => AllowedZones::All,
        }
    }
}
