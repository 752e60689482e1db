use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use balsampitch::exchange::driver::{Exchange, ExchangeDelegate};
use balsampitch::exchange::node::LevelUpdate;
use balsampitch::exchange::numbering::Numbering;
use balsampitch::ids::{AccountKey, ServiceKey};
use balsampitch::rules::{Account, Service, Table};
use balsampitch::share::{Report, Share};
use balsampitch::units::Micros;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

const A: AccountKey = AccountKey(0);
const SECRET: &[u8] = b"secret of the loopback test";
const TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Clone)]
struct TestDelegate {
    share: Arc<Mutex<Share>>,
    members: Arc<Mutex<Option<Vec<SocketAddr>>>>,
    numbering: Option<Numbering>,
}

impl ExchangeDelegate for TestDelegate {
    fn collect(&mut self) -> Vec<(ServiceKey, Vec<Report>)> {
        let reports = self.share.lock().expect("not poisoned").collect();
        vec![(ServiceKey(0), reports)]
    }

    fn apply(&mut self, updates: &[LevelUpdate]) {
        let mut share = self.share.lock().expect("not poisoned");
        for update in updates {
            share.apply(update.key.account, update.usage);
        }
    }

    fn members(&mut self) -> Option<Vec<SocketAddr>> {
        self.members.lock().expect("not poisoned").take()
    }

    fn numbering(&mut self) -> Option<Numbering> {
        self.numbering.take()
    }
}

fn numbering() -> Numbering {
    let account = Account {
        name: "school".into(),
        keys: Vec::new(),
        queue_limit: 1,
        body_limit: 1,
        live: true,
    };
    let service = Service {
        name: "model".into(),
        slots: 1,
        repeatable: true,
        fenced: false,
        deadline: Micros::ZERO,
        hedge_percent: 0,
        retry_percent: 0,
        live: true,
    };
    Numbering::from_table(&Table::default().next_version(1, vec![account], vec![service]))
}

async fn sockets(count: usize) -> (Vec<UdpSocket>, Vec<SocketAddr>) {
    let mut sockets = Vec::new();
    for _ in 0..count {
        sockets.push(
            UdpSocket::bind("127.0.0.1:0")
                .await
                .expect("loopback binds"),
        );
    }
    let list = sockets
        .iter()
        .map(|s| s.local_addr().expect("bound"))
        .collect();
    (sockets, list)
}

#[tokio::test]
async fn levels_reach_every_member_and_forgeries_none() {
    let (sockets, members) = sockets(3).await;
    let cancel = CancellationToken::new();
    let mut shares = Vec::new();
    let mut tasks = Vec::new();
    for (socket, &me) in sockets.into_iter().zip(&members) {
        let delegate = TestDelegate {
            share: Arc::default(),
            members: Arc::new(Mutex::new(Some(members.clone()))),
            numbering: Some(numbering()),
        };
        delegate
            .share
            .lock()
            .expect("not poisoned")
            .set_backlogged(A);
        shares.push(delegate.share.clone());
        let exchange = Exchange::new(socket, me, SECRET, delegate);
        tasks.push(tokio::spawn(exchange.run(cancel.clone())));
    }
    let stranger = UdpSocket::bind("127.0.0.1:0")
        .await
        .expect("loopback binds");
    for junk in [&[0u8; 3][..], &[1; 100], &[1; 3_000]] {
        stranger
            .send_to(junk, members[0])
            .await
            .expect("loopback sends");
    }
    shares[2]
        .lock()
        .expect("not poisoned")
        .debit(A, Micros::from_secs(5));
    let all_reached = async {
        let level = |s: &Arc<Mutex<Share>>| s.lock().expect("not poisoned").level(A);
        while shares.iter().any(|s| level(s) < Micros::from_ms(4_900)) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let outcome = tokio::time::timeout(TIMEOUT, all_reached).await;
    cancel.cancel();
    let mut rejected = Vec::new();
    for task in tasks {
        rejected.push(task.await.expect("the exchange ends").rejected);
    }
    assert!(outcome.is_ok(), "levels did not arrive");
    assert_eq!(rejected[0], 3);
}

#[tokio::test]
async fn a_new_member_list_is_taken_over() {
    let (sockets, members) = sockets(2).await;
    let last = *members.iter().max().expect("there are two");
    let cancel = CancellationToken::new();
    let mut followed = None;
    for (socket, &me) in sockets.into_iter().zip(&members) {
        let delegate = TestDelegate {
            share: Arc::default(),
            members: Arc::new(Mutex::new(Some(members.clone()))),
            numbering: Some(numbering()),
        };
        let list = delegate.members.clone();
        let exchange = Exchange::new(socket, me, SECRET, delegate);
        if me == last {
            followed = Some((exchange.status(), list));
        }
        tokio::spawn(exchange.run(cancel.clone()));
    }
    let (mut status, list) = followed.expect("one is last");
    let outcome = tokio::time::timeout(TIMEOUT, async {
        let joined = status
            .wait_for(|s| s.parent.is_some() && !s.cold)
            .await
            .is_ok();
        *list.lock().expect("not poisoned") = Some(vec![last]);
        joined && status.wait_for(|s| s.parent.is_none()).await.is_ok()
    })
    .await;
    cancel.cancel();
    assert_eq!(outcome, Ok(true));
}
