//! A target that names a limit on the requests it takes from all gateways together.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::{Instant, interval};

use crate::harness::{TestGateway, free_address_pair};
use crate::target::{Behaviour, Target};

/// The limit that [`Behaviour::Limited`] names, in requests a second.
const LIMIT: f64 = 4.0;
/// Length of the window of the platform's rule, in seconds.
const WINDOW_S: u64 = 4;
/// Time from the first answer with a limit until the platform's rule counts.
const CONTACT: Duration = Duration::from_secs(2);
/// Pause between two requests to a gateway.
const PAUSE: Duration = Duration::from_millis(25);

/// The most requests that the platform's rule allows in a window.
fn allowed() -> usize {
    (LIMIT * WINDOW_S as f64 * 1.5) as usize + 5
}

/// Calls all gateways in turn for this long; returns the number of answers with each status.
async fn call_for(gateways: &[&TestGateway], time: Duration) -> (usize, usize) {
    let (mut served, mut refused) = (0, 0);
    let mut ticks = interval(PAUSE);
    let end = Instant::now() + time;
    while Instant::now() < end {
        ticks.tick().await;
        for gateway in gateways {
            match gateway.call("POST", "/order/1").await.status {
                200 => served += 1,
                503 => refused += 1,
                status => panic!("answered with {status}"),
            }
        }
    }
    (served, refused)
}

async fn gateways(targets: &[&Target]) -> [TestGateway; 2] {
    let peers: [SocketAddr; 2] = free_address_pair();
    let one = TestGateway::start_with_peers(peers[0], &peers).await;
    let directory = one.directory.clone();
    let one = one.list_targets(targets).await;
    let other = TestGateway::start_reading(&directory, peers[1], &peers).await;
    let count = targets.len();
    other
        .wait_until(|state| state.with_targets(|listed| listed.len()) == count)
        .await;
    [one, other]
}

#[tokio::test]
async fn a_target_gets_no_more_than_it_named_from_two_gateways_together() {
    let limited = Target::start(&[Behaviour::Limited]).await;
    let other = Target::start(&[Behaviour::Complete]).await;
    let [one, two] = gateways(&[&limited, &other]).await;
    call_for(&[&one, &two], CONTACT).await;
    let before = limited.count();
    let (_, refused) = call_for(&[&one, &two], Duration::from_secs(WINDOW_S)).await;
    let sent = limited.count() - before;
    assert!(sent <= allowed(), "{sent}");
    assert_eq!(refused, 0, "the other target has room");
}

#[tokio::test]
async fn requests_beyond_the_limits_of_all_targets_are_refused() {
    let limited = Target::start(&[Behaviour::Limited]).await;
    let [one, two] = gateways(&[&limited]).await;
    call_for(&[&one, &two], CONTACT).await;
    let before = limited.count();
    let (served, refused) = call_for(&[&one, &two], Duration::from_secs(WINDOW_S)).await;
    let sent = limited.count() - before;
    assert!(sent <= allowed(), "{sent}");
    assert_eq!(served, sent, "what is refused has not run");
    assert!(refused > served, "{refused}");
    let named = LIMIT * WINDOW_S as f64;
    assert!(sent as f64 >= named / 2.0, "its room is used: {sent}");
}
