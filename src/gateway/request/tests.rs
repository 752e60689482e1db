use std::time::Duration;

use hyper::Request;

use super::{ClientRequest, account};
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

/// The account of a request with this key, or none, on a route that may be for anonymous clients, under a
/// configuration that may have accounts. Guards against a request that runs as anonymous although no
/// configuration holds its key, and so without the restrictions of its account.
macro_rules! accounts {
    ($($name:ident: $key:expr, $anonymous:expr, $accounts:expr => $account:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut config = config(1, "/read/", "desk", "school-key");
            let mut route = Route::clone(config.route("pool.example", "/read/1").expect("it matches"));
            route.allow_anonymous = $anonymous;
            if !$accounts {
                config = Config::default();
            }
            let account = account(&route, $key, &config).map_err(|problem| problem.status);
            let name = account.map(|account| account.map(|account| account.name.as_ref()));
            assert_eq!(name, $account);
        }
    )*};
}

accounts! {
    a_known_key_names_its_account: Some("school-key"), false, true => Ok(Some("school"));
    a_known_key_names_its_account_on_an_anonymous_route: Some("school-key"), true, true => Ok(Some("school"));
    a_request_without_a_key_is_rejected: None, false, true => Err(401);
    a_request_without_a_key_is_anonymous_on_an_anonymous_route: None, true, true => Ok(None);
    an_unknown_key_is_rejected: Some("nobody"), false, true => Err(401);
    an_unknown_key_is_rejected_on_an_anonymous_route: Some("nobody"), true, true => Err(401);
    without_accounts_no_key_is_checked: Some("nobody"), false, false => Ok(None);
}
