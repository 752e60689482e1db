use std::time::Duration;

use tokio::net::TcpListener;

use super::{ConnectError, Connection, ConnectionPool};
use crate::gateway::connection_limits::ConnectionLimits;
use crate::gateway::targets::{Entry, TargetKey, Targets};

/// Limits with two connections to targets, one of which may be idle.
const LIMITS: ConnectionLimits = ConnectionLimits {
    callers: 4,
    kept_callers: 4,
    targets: 2,
    idle_targets: 1,
};
const IDLE: Option<Duration> = Some(Duration::from_secs(10));

/// A pool, a listener that accepts connections in the background, and the keys of two targets.
async fn setup() -> (ConnectionPool, TcpListener, [TargetKey; 2]) {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let mut targets = Targets::default();
    for id in ["one", "two"] {
        let entry = Entry {
            service: "model".into(),
            addr: listener.local_addr().expect("it is bound"),
            zone: "a".into(),
            slots: 4,
            draining: false,
            version: Some("v1".into()),
            started_at: None,
            cold: None,
        };
        targets.put(id, entry);
    }
    let keys = targets.of_service("model");
    (ConnectionPool::new(LIMITS), listener, [keys[0], keys[1]])
}

async fn connect(pool: &ConnectionPool, to: &TcpListener) -> Result<Connection, ConnectError> {
    let addr = to.local_addr().expect("it is bound");
    pool.connect(addr).await
}

#[tokio::test]
async fn connections_in_use_are_limited() {
    let (pool, listener, _) = setup().await;
    let first = connect(&pool, &listener).await.expect("there is room");
    let _second = connect(&pool, &listener).await.expect("there is room");
    let third = connect(&pool, &listener).await;
    assert!(matches!(third, Err(ConnectError::TooMany)), "{third:?}");
    drop(first);
    assert!(connect(&pool, &listener).await.is_ok());
}

#[tokio::test]
async fn an_idle_connection_gives_way_to_a_new_one() {
    let (pool, listener, [one, _]) = setup().await;
    let first = connect(&pool, &listener).await.expect("there is room");
    let _second = connect(&pool, &listener).await.expect("there is room");
    pool.put(one, first, IDLE);
    assert!(connect(&pool, &listener).await.is_ok());
    assert!(pool.take(one).is_none());
}

#[tokio::test]
async fn idle_connections_to_all_targets_are_limited_together() {
    let (pool, listener, [one, two]) = setup().await;
    let first = connect(&pool, &listener).await.expect("there is room");
    let second = connect(&pool, &listener).await.expect("there is room");
    pool.put(one, first, IDLE);
    pool.put(two, second, IDLE);
    assert!(pool.take(one).is_some());
    assert!(pool.take(two).is_none());
}

#[tokio::test]
async fn evicted_connections_are_closed_and_no_longer_counted() {
    let (pool, listener, [one, two]) = setup().await;
    let first = connect(&pool, &listener).await.expect("there is room");
    pool.put(one, first, IDLE);
    pool.evict(|_| false);
    let second = connect(&pool, &listener).await.expect("there is room");
    pool.put(two, second, IDLE);
    assert!(pool.take(two).is_some());
}
