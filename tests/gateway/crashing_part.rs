//! A prompt part that crashes each engine that begins to answer it.

use std::net::SocketAddr;
use std::time::Duration;

use crate::harness::{KEY, TestGateway, free_address_pair};
use crate::target::{Behaviour, Target};

/// Number of engines, all of which a part that is never recognised would crash.
const ENGINES: usize = 16;
/// Number of crashes after which the platform's rule begins to count.
const MAX_CRASHES: usize = 5;

async fn engines() -> Vec<Target> {
    let mut engines = Vec::new();
    for _ in 0..ENGINES {
        engines.push(Target::start(&[Behaviour::CrashOnPart]).await);
    }
    engines
}

fn crashed(engines: &[Target]) -> usize {
    engines.iter().filter(|engine| engine.is_down()).count()
}

/// Headers of a request with a prompt of these shared parts and one of its own.
fn prompt(shared: &str, own: usize) -> String {
    format!(
        "Authorization: Bearer {KEY}\r\nToken-Count: 1460,80\r\n\
         Prompt-Prefix: {shared},{own:x}:250\r\n"
    )
}

/// Sends a request with a part that crashes engines, and sound ones that share its other part.
async fn send_round(gateway: &TestGateway, round: usize) -> (u16, usize) {
    let path = format!("/stream/{round}");
    let headers = prompt("5c1e:800,dead:410", 1_000 + round);
    let crashing = gateway.call_with("POST", &path, &headers).await;
    let mut served = 0;
    for own in 0..3 {
        let path = format!("/stream/{round}-{own}");
        let headers = prompt("5c1e:800,91bd:410", 10 * round + own);
        let reply = gateway.call_with("POST", &path, &headers).await;
        served += usize::from(reply.status == 200 && reply.complete);
    }
    (crashing.status, served)
}

#[tokio::test]
async fn a_part_that_crashed_engines_in_unlike_requests_crashes_no_more() {
    let engines = engines().await;
    let gateway = TestGateway::start_with_targets(&engines.iter().collect::<Vec<_>>()).await;
    let (mut last, mut served) = (0, 0);
    for round in 0..ENGINES {
        let (status, sound) = send_round(&gateway, round).await;
        last = status;
        served += sound;
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    assert!(crashed(&engines) <= MAX_CRASHES, "{}", crashed(&engines));
    assert_eq!(last, 503);
    assert_eq!(served, 3 * ENGINES);
}

#[tokio::test]
async fn gateways_that_each_saw_few_crashes_stop_the_part_together() {
    let engines = engines().await;
    let peers: [SocketAddr; 2] = free_address_pair();
    let one = TestGateway::start_with_peers(peers[0], &peers).await;
    let directory = one.directory.clone();
    let one = one.list_targets(&engines.iter().collect::<Vec<_>>()).await;
    let other = TestGateway::start_reading(&directory, peers[1], &peers).await;
    other
        .wait_until(|state| state.with_targets(|targets| targets.len()) == ENGINES)
        .await;
    let mut last = [0; 2];
    for round in 0..ENGINES / 2 {
        for (gateway, last) in [&one, &other].into_iter().zip(&mut last) {
            (*last, _) = send_round(gateway, 2 * round).await;
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
    }
    assert!(crashed(&engines) <= MAX_CRASHES, "{}", crashed(&engines));
    assert_eq!(last, [503; 2]);
}
