//! Gateways of one availability zone, of which one reads the directory for the others.

use std::time::Duration;

use balsampitch::gateway::state::GatewayState;
use tokio::time::{sleep, timeout};

use crate::harness::{FakeDirectory, KEY, TestGateway, config, free_address_pair};
use crate::target::{Behaviour, Target};

/// Time within which a change has to be known everywhere.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

/// Time within which a removed target is used no more.
const REMOVAL_LIMIT: Duration = Duration::from_millis(1_200);

/// Two gateways that know the same target, each with its own way to the same directory.
async fn two_gateways(target: &Target) -> [TestGateway; 2] {
    let [one, two] = free_address_pair();
    let directory = FakeDirectory::default();
    let first = TestGateway::start_reading(&directory, one, &[two]).await;
    let second = TestGateway::start_reading(&directory.another_link(), two, &[one]).await;
    let first = first.list_targets(&[target]).await;
    second
        .wait_until(|state| state.with_targets(|targets| targets.len()) == 1)
        .await;
    // Waits until each has heard the other and one of them has stopped reading.
    sleep(Duration::from_millis(1_200)).await;
    [first, second]
}

/// Number of reads of each gateway's directory within this time.
async fn reads_within(gateways: &[TestGateway; 2], span: Duration) -> [u64; 2] {
    let before = gateways.each_ref().map(|gateway| gateway.directory.reads());
    sleep(span).await;
    let after = gateways.each_ref().map(|gateway| gateway.directory.reads());
    [after[0] - before[0], after[1] - before[1]]
}

/// Returns the gateways as reader and follower.
async fn by_role(gateways: [TestGateway; 2]) -> (TestGateway, TestGateway) {
    let reads = reads_within(&gateways, Duration::from_millis(500)).await;
    let [one, two] = gateways;
    match reads {
        [_, 0] => (one, two),
        [0, _] => (two, one),
        _ => panic!("both read the directory: {reads:?}"),
    }
}

#[tokio::test]
async fn only_one_gateway_of_a_zone_reads_the_directory() {
    let target = Target::start(&[Behaviour::Complete]).await;
    let gateways = two_gateways(&target).await;
    let mut reads = reads_within(&gateways, Duration::from_secs(1)).await;
    reads.sort_unstable();
    assert_eq!(reads[0], 0);
    assert!(reads[1] > 0);
}

#[tokio::test]
async fn changes_reach_the_gateway_that_does_not_read() {
    let target = Target::start(&[Behaviour::Complete]).await;
    let (reader, follower) = by_role(two_gateways(&target).await).await;
    reader.directory.put_config(config(7, &[KEY]));
    reader.directory.put_target("t0", target.addr, true);
    let known = follower.wait_until(|state| {
        let drains =
            state.with_targets(|targets| targets.iter().any(|target| target.entry.draining));
        state.config().version == 7 && drains
    });
    timeout(APPLY_LIMIT, known)
        .await
        .expect("it is known in time");
    assert_eq!(reads_of(&follower).await, 0);
}

#[tokio::test]
async fn a_reader_that_dies_is_replaced() {
    let target = Target::start(&[Behaviour::Complete]).await;
    let (reader, follower) = by_role(two_gateways(&target).await).await;
    reader.task.abort();
    follower.directory.put_config(config(7, &[KEY]));
    let known = follower.wait_until(|state| state.config().version == 7);
    timeout(APPLY_LIMIT, known)
        .await
        .expect("it is known in time");
}

#[tokio::test]
async fn a_reader_that_is_cut_off_from_the_directory_is_replaced() {
    let target = Target::start(&[Behaviour::Complete]).await;
    let (reader, follower) = by_role(two_gateways(&target).await).await;
    reader.directory.set_failing(true);
    follower.directory.put_config(config(7, &[KEY]));
    follower.directory.put_target("t1", target.addr, false);
    for gateway in [&reader, &follower] {
        let known = gateway.wait_until(|state| {
            state.config().version == 7 && state.with_targets(|targets| targets.len()) == 2
        });
        timeout(APPLY_LIMIT, known)
            .await
            .expect("it is known in time");
    }
}

#[tokio::test]
async fn a_gateway_that_joins_copies_from_the_reader() {
    let [one, two] = free_address_pair();
    let target = Target::start(&[Behaviour::Complete]).await;
    let directory = FakeDirectory::default();
    let old = TestGateway::start_reading(&directory, one, &[]).await;
    let old = old.list_targets(&[&target]).await;
    let cut_off = directory.another_link();
    cut_off.set_failing(true);
    let new = TestGateway::start_reading(&cut_off, two, &[one]).await;
    new.wait_until(|state| {
        state.config().version == 1 && state.with_targets(|targets| targets.len()) == 1
    })
    .await;
    assert_eq!(new.call("GET", "/read/1").await.status, 200);
    drop(old);
}

/// Guards against taking the cut of one gateway for an outage of the directory: it then kept what was
/// removed for 2.2 s, and its zone copied that.
#[tokio::test]
async fn after_a_cut_of_the_reader_alone_removals_apply_at_once() {
    let target = Target::start(&[Behaviour::Complete]).await;
    let (reader, follower) = by_role(two_gateways(&target).await).await;
    reader.directory.put_target("t1", target.addr, false);
    for gateway in [&reader, &follower] {
        gateway.wait_until(|state| lists(state, "t1")).await;
    }
    reader.directory.set_failing(true);
    sleep(Duration::from_millis(2_500)).await;
    reader.directory.set_failing(false);
    sleep(Duration::from_millis(600)).await;
    reader.directory.remove_target("t1");
    sleep(REMOVAL_LIMIT).await;
    for _ in 0..100 {
        assert!(!lists(&reader.state, "t1"), "the reader uses it");
        assert!(!lists(&follower.state, "t1"), "its neighbour uses it");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against dropping the targets whose entries lapsed while the directory was unavailable.
#[tokio::test]
async fn after_an_outage_of_the_directory_lapsed_entries_are_kept_until_they_are_written_again() {
    let target = Target::start(&[Behaviour::Complete]).await;
    let gateways = two_gateways(&target).await;
    for gateway in &gateways {
        gateway.directory.set_failing(true);
    }
    sleep(Duration::from_millis(2_500)).await;
    gateways[0].directory.remove_target("t0");
    for gateway in &gateways {
        gateway.directory.set_failing(false);
    }
    for _ in 0..70 {
        assert!(gateways.iter().all(|gateway| lists(&gateway.state, "t0")));
        sleep(Duration::from_millis(20)).await;
    }
    gateways[0].directory.put_target("t0", target.addr, false);
    for _ in 0..100 {
        assert!(gateways.iter().all(|gateway| lists(&gateway.state, "t0")));
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against keeping a target for good that is still missing two seconds after an outage.
#[tokio::test]
async fn a_target_that_does_not_come_back_after_an_outage_is_gone() {
    let target = Target::start(&[Behaviour::Complete]).await;
    let gateways = two_gateways(&target).await;
    for gateway in &gateways {
        gateway.directory.set_failing(true);
    }
    sleep(Duration::from_millis(2_500)).await;
    gateways[0].directory.remove_target("t0");
    for gateway in &gateways {
        gateway.directory.set_failing(false);
    }
    sleep(Duration::from_millis(3_800)).await;
    assert!(gateways.iter().all(|gateway| !lists(&gateway.state, "t0")));
}

fn lists(state: &GatewayState, id: &str) -> bool {
    state.with_targets(|targets| targets.by_id(id).is_some())
}

async fn reads_of(gateway: &TestGateway) -> u64 {
    let before = gateway.directory.reads();
    sleep(Duration::from_millis(500)).await;
    gateway.directory.reads() - before
}
