//! The platform's store comes back from an older copy: its last records are gone, their offsets are
//! given out again, and the operator and the targets write what they had written once more.

use std::time::Duration;

use serde_json::json;
use tokio::time::{Instant, sleep, timeout};

use crate::common::await_until;
use crate::gateway_process::GatewayProcess;
use crate::harness::{FakeDirectory, ROUTE_TIMEOUT, TestGateway, free_address_pair};
use crate::store::{OPERATOR, Store, TARGETS};
use crate::target::{Behaviour, Target};

/// Time within which a change has to be in force.
const APPLY_LIMIT: Duration = Duration::from_secs(2);
/// Time for which something must not happen after a restore.
const WATCH_TIME: Duration = Duration::from_secs(3);
const MAX_BODY: usize = 1 << 20;
/// Maximum size of bodies by a later configuration, and a larger body.
const SMALL_BODY: usize = 10;
const BODY: [u8; 100] = [b'x'; 100];

/// A gateway before a store of this operator's records and these of the targets.
struct Site {
    gateway: GatewayProcess,
    store: Store,
}

impl Site {
    /// Starts a gateway whose store has one configuration and the records that `write` appends.
    async fn start(write: impl FnOnce(&Store)) -> Site {
        let store = Store::start(100).await;
        store.put_config(1, MAX_BODY, ROUTE_TIMEOUT);
        write(&store);
        let gateway = GatewayProcess::start_with(Some(store.addr), &json!({}));
        gateway.ready().await;
        Site { gateway, store }
    }

    /// Takes the store away until the gateway has noticed, restores it without the last records of
    /// these topics, and lets `write` append to it before it answers again.
    async fn restore(&self, lost: &[(&str, usize)], write: impl FnOnce(&Store)) {
        self.store.set_away(true);
        await_until("the gateway has lost the store", || async {
            let log = self.gateway.process.output();
            log.matches("dependency lost").count() >= 2
        })
        .await;
        self.store.restore(lost);
        write(&self.store);
        self.store.set_away(false);
    }

    async fn status(&self) -> u16 {
        self.gateway.call("/idempotent/1", &BODY).await.status
    }

    /// Waits until requests are answered with this status.
    async fn answers(&self, status: u16) {
        let answered = async {
            while self.status().await != status {
                sleep(Duration::from_millis(20)).await;
            }
        };
        let answered = timeout(APPLY_LIMIT, answered).await;
        assert!(answered.is_ok(), "no answer {status}: {}", self.list_log());
    }

    /// The log lines about lists of the store.
    fn list_log(&self) -> String {
        let log = self.gateway.process.output();
        let lines = log.lines().filter(|line| line.contains("list"));
        lines.collect::<Vec<_>>().join("\n")
    }

    /// Asserts that requests are answered with this status for a while.
    async fn keeps_answering(&self, status: u16) {
        let end = Instant::now() + WATCH_TIME;
        while Instant::now() < end {
            assert_eq!(self.status().await, status);
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until several requests in a row have reached none but this target.
    async fn uses_only(&self, target: &Target) {
        let used = async {
            loop {
                let before = target.count();
                for _ in 0..20 {
                    assert_eq!(self.status().await, 200);
                }
                if target.count() - before == 20 {
                    break;
                }
            }
        };
        let used = timeout(APPLY_LIMIT, used).await;
        assert!(used.is_ok(), "other targets are used: {}", self.list_log());
    }
}

async fn target() -> Target {
    Target::start(&[Behaviour::Complete]).await
}

/// The restored topic has grown past the reader's offset before the next read, which then skipped the
/// configuration.
#[tokio::test]
async fn a_configuration_below_the_offset_of_the_next_read_is_applied() {
    let target = target().await;
    let site = Site::start(|store| {
        store.put_target("t0", target.addr);
        store.put_config(2, MAX_BODY, ROUTE_TIMEOUT);
        store.put_config(3, MAX_BODY, ROUTE_TIMEOUT);
    })
    .await;
    site.restore(&[(OPERATOR, 2)], |store| {
        store.put_config(3, MAX_BODY, ROUTE_TIMEOUT);
        store.put_config(5, SMALL_BODY, ROUTE_TIMEOUT);
        store.set_evacuated("elsewhere", true);
        store.set_evacuated("elsewhere", false);
    })
    .await;
    site.answers(413).await;
}

/// Evacuations were merged by the offset of the operator's topic, which goes back.
#[tokio::test]
async fn a_zone_that_is_evacuated_after_a_restore_gets_no_requests() {
    let target = target().await;
    let site = Site::start(|store| {
        store.put_target("t0", target.addr);
        for evacuated in [true, false, true, false, true, false] {
            store.set_evacuated("elsewhere", evacuated);
        }
    })
    .await;
    site.restore(&[(OPERATOR, 5)], |store| {
        store.set_evacuated("elsewhere", false);
        store.set_evacuated("a", true);
    })
    .await;
    site.answers(503).await;
}

#[tokio::test]
async fn an_evacuation_that_a_restore_loses_holds_until_it_is_written_again() {
    let target = target().await;
    let site = Site::start(|store| {
        store.put_target("t0", target.addr);
        store.set_evacuated("elsewhere", true);
    })
    .await;
    site.store.set_evacuated("a", true);
    site.answers(503).await;
    site.restore(&[(OPERATOR, 2)], |_| {}).await;
    site.keeps_answering(503).await;
    site.store.set_evacuated("a", true);
    site.keeps_answering(503).await;
    site.store.set_evacuated("a", false);
    site.answers(200).await;
}

/// The restored list was put aside as older until it had grown past its former length.
#[tokio::test]
async fn targets_that_come_and_drain_after_a_restore_are_followed() {
    let (old, new) = (target().await, target().await);
    let site = Site::start(|store| {
        for _ in 0..8 {
            store.put_target("t0", old.addr);
        }
    })
    .await;
    site.restore(&[(TARGETS, 7)], |store| {
        store.put_target("t1", new.addr);
        store.drain_target("t0", old.addr);
    })
    .await;
    site.uses_only(&new).await;
}

/// A target is not used for a while after a restore that loses the record by which it left.
macro_rules! departures {
    ($($name:ident: $leave:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (left, other) = (target().await, target().await);
            let site = Site::start(|store| {
                store.put_target("t0", other.addr);
                store.put_target("t1", left.addr);
            })
            .await;
            let leave: fn(&Store, &Target) = $leave;
            leave(&site.store, &left);
            site.uses_only(&other).await;
            site.restore(&[(TARGETS, 1)], |store| store.put_target("t0", other.addr))
                .await;
            let before = left.count();
            site.keeps_answering(200).await;
            assert_eq!(left.count(), before);
        }
    )*};
}

departures! {
    a_target_that_left_before_a_restore_is_not_used_again:
        |store, _| store.append(TARGETS, b"t1", b"");
    a_target_that_drained_before_a_restore_is_not_used_again:
        |store, left| store.drain_target("t1", left.addr);
}

#[tokio::test]
async fn a_target_whose_entry_a_restore_loses_is_used_until_it_is_written_again() {
    let target = target().await;
    let site = Site::start(|store| store.put_target("t0", target.addr)).await;
    site.restore(&[(TARGETS, 1)], |_| {}).await;
    let written = async {
        sleep(Duration::from_millis(1_200)).await;
        site.store.put_target("t0", target.addr);
    };
    tokio::join!(written, site.keeps_answering(200));
}

/// What a gateway missed while it was cut off must not outweigh what others have read since, although
/// it has greater offsets.
#[tokio::test]
async fn a_gateway_that_is_cut_off_during_a_restore_follows_the_others() {
    let [one, two] = free_address_pair();
    let (old, new) = (target().await, target().await);
    let directory = FakeDirectory::default();
    let first = TestGateway::start_reading(&directory, one, &[two]).await;
    let first = first.list_targets(&[&old]).await;
    for _ in 0..8 {
        directory.put_target("t0", old.addr, false);
        directory.set_evacuated("elsewhere", true);
        directory.set_evacuated("elsewhere", false);
    }
    let cut_off = TestGateway::start_reading(&directory.another_link(), two, &[one]).await;
    let gateways = [first, cut_off];
    for gateway in &gateways {
        gateway
            .wait_until(|state| {
                state.with_targets(|targets| targets.view().complete_to().offset > 8)
            })
            .await;
    }
    gateways[1].directory.set_failing(true);
    sleep(Duration::from_millis(500)).await;
    directory.restore(8, 12);
    directory.put_target("t1", new.addr, false);
    directory.put_target("t0", old.addr, true);
    directory.set_evacuated("b", true);
    for gateway in &gateways {
        let known = gateway.wait_until(|state| {
            let drains =
                state.with_targets(|targets| targets.iter().any(|target| target.entry.draining));
            drains && state.evacuations().len() == 1 && state.with_targets(|t| t.len()) == 2
        });
        timeout(APPLY_LIMIT, known)
            .await
            .expect("it is known in time");
    }
}
