use super::*;
use crate::claim::Digest;
use crate::exchange::envelope::MAX_PAYLOAD_BYTES;
use crate::exchange::gossip::{Gossip, encode as encode_gossip};
use crate::quarantine::EventKind;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last], 1))
}

/// Returns entry number `last` of a fleet of `count`.
fn entry(last: u8, count: u8) -> QuarantineSync {
    let clock = Clock::start();
    let entries: Vec<_> = (1..=count).map(address).collect();
    QuarantineSync::new(SharedQuarantine::new(clock), clock, address(last), &entries)
}

fn crash(number: u64) -> QuarantineEvent {
    QuarantineEvent {
        digest: Digest([number as u8; 16]),
        id: u64::MAX - number,
        kind: EventKind::Crash,
        age: Micros::from_secs(599),
    }
}

#[test]
fn a_full_datagram_fits() {
    let all: Vec<_> = (0..MAX_EVENTS as u64).map(crash).collect();
    let payloads = encode(&all);
    assert_eq!(payloads.len(), 1);
    let sent = encode_gossip(&Gossip::Opaque(payloads[0].clone()));
    assert!(sent.len() <= MAX_PAYLOAD_BYTES, "{}", sent.len());
}

#[tokio::test(start_paused = true)]
async fn a_starting_entry_receives_known_events() {
    let (mut old, mut new) = (entry(1, 2), entry(2, 2));
    old.quarantine.merge(&[crash(1), crash(2)]);
    let compares = new.take_due();
    assert_eq!(compares.len(), 1);
    assert_eq!(old.receive(address(2), &compares[0].1), Ok(()));
    let (to, reply) = old.take_due().remove(0);
    assert_eq!(to, address(2));
    assert_eq!(new.receive(address(1), &reply), Ok(()));
    assert_eq!(
        checksum(&new.quarantine.active_events()),
        checksum(&old.quarantine.active_events())
    );
    assert_eq!(new.quarantine.active_events().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn entries_with_equal_checksums_do_not_reply() {
    let (mut old, mut new) = (entry(1, 2), entry(2, 2));
    old.quarantine.merge(&[crash(1)]);
    new.quarantine.merge(&[crash(1)]);
    old.take_due();
    for (_, compare) in new.take_due() {
        assert_eq!(old.receive(address(2), &compare), Ok(()));
    }
    assert_eq!(old.take_due(), []);
}

macro_rules! malformed {
    ($($name:ident: $payload:expr;)+) => {$(
        #[test]
        fn $name() {
            let mut entry = entry(1, 2);
            assert_eq!(entry.receive(address(2), $payload), Err(GossipError::Malformed));
        }
    )+};
}

malformed! {
    an_empty_payload: &[];
    an_unknown_message: &[9, 1];
    more_events_than_bytes: &[0, 255, 255, 255, 255, 15];
    trailing_bytes: &[1, 0, 0];
}
