use super::{Account, Config, ConfigParts};
use crate::gateway::regions::RegionRule;

fn version(version: u64) -> Config {
    let parts = ConfigParts {
        version,
        ..ConfigParts::default()
    };
    parts.into()
}

#[test]
fn a_configuration_without_routes_is_empty() {
    let config = version(1);
    assert!(config.is_empty());
    assert!(config.route("a", "/").is_none());
    assert!(!config.has_accounts());
}

#[test]
fn a_key_that_moves_belongs_to_its_new_account() {
    let account = |name: &str| Account {
        name: name.into(),
        regions: RegionRule::default(),
    };
    let parts = ConfigParts {
        version: 1,
        accounts: vec![
            (account("club"), vec!["k1".into()]),
            (account("school"), vec!["k2".into()]),
        ],
        ..ConfigParts::default()
    };
    let config = Config::from(parts);
    let holder = config
        .account_by_key("k2")
        .map(|key| config.account(key).name.clone());
    assert_eq!(holder.as_deref(), Some("school"));
}
