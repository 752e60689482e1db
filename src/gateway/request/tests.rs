use std::time::Duration;

use hyper::Request;

use super::ClientRequest;
use crate::gateway::config::{Account, Config, ConfigParts, Route, RouteClass};
use crate::gateway::regions::RegionRule;
use crate::units::Micros;

/// Time limit of the client, in milliseconds.
const REMAINING_MS: u64 = 800;

/// A configuration with one route to a service, and one API key.
pub fn config(version: u64, prefix: &str, service: &str, key: &str) -> Config {
    let rules = [RegionRule::default(), RegionRule::default()];
    restricted(version, rules, prefix, service, key)
}

/// As [`config`], with the region restrictions of the route and of the client account.
pub fn restricted(
    version: u64,
    [route_regions, account_regions]: [RegionRule; 2],
    prefix: &str,
    service: &str,
    key: &str,
) -> Config {
    let route = Route {
        name: "route".into(),
        authority: "pool.example".into(),
        path_prefix: prefix.into(),
        services: [(service.into(), 1)].into_iter().collect(),
        class: RouteClass::Idempotent,
        timeout: Duration::from_secs(2),
        latency_objective: Duration::from_millis(300),
        max_attempts: 2,
        allow_anonymous: false,
        regions: route_regions,
    };
    let account = Account {
        name: "school".into(),
        regions: account_regions,
    };
    ConfigParts {
        version,
        routes: vec![route],
        accounts: vec![(account, vec![key.into()])],
        ..ConfigParts::default()
    }
    .into()
}

/// A request that arrived at time zero under the first configuration.
pub fn request() -> ClientRequest {
    request_by(&config(1, "/read/", "desk", "school-key"))
}

/// A request that arrived at time zero under this configuration.
pub fn request_by(config: &Config) -> ClientRequest {
    let head = Request::builder()
        .uri("/read/1")
        .header("host", "pool.example")
        .header("attempt-id", "9c41")
        .header("deadline-remaining", REMAINING_MS)
        .header("authorization", "Bearer school-key")
        .body(())
        .expect("it is a valid request");
    let (parts, ()) = head.into_parts();
    ClientRequest::from_head(parts, config, Micros::ZERO).expect("the configuration allows it")
}

/// Whether the second configuration still allows a request that was read under the first.
macro_rules! configurations {
    ($($name:ident: $prefix:expr, $service:expr, $key:expr => $allowed:expr;)*) => {$(
        #[test]
        fn $name() {
            let newer = config(2, $prefix, $service, $key);
            assert_eq!(request().is_allowed_by(&newer), $allowed);
        }
    )*};
}

configurations! {
    nothing_that_concerns_it_has_changed: "/read/", "desk", "school-key" => true;
    its_route_was_removed: "/other/", "desk", "school-key" => false;
    its_route_was_moved_to_another_service: "/read/", "shop", "school-key" => false;
    its_key_was_removed: "/read/", "desk", "another-key" => false;
    a_shorter_prefix_still_sends_it_there: "/", "desk", "school-key" => true;
}
