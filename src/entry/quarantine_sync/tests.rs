use super::*;
use crate::claim::Digest;
use crate::exchange::envelope::MAX_PAYLOAD_BYTES;
use crate::exchange::gossip::{Gossip, encode as encode_gossip};
use crate::quarantine::EventKind;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last], 1))
}

/// An entry of a fleet of this many.
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
async fn an_entry_that_starts_learns_what_others_know() {
    let (mut old, mut new) = (entry(1, 2), entry(2, 2));
    old.quarantine.merge(&[crash(1), crash(2)]);
    let asked = new.due();
    assert_eq!(asked.len(), 1);
    assert_eq!(old.receive(address(2), &asked[0].1), Ok(()));
    let (to, answer) = old.due().remove(0);
    assert_eq!(to, address(2));
    assert_eq!(new.receive(address(1), &answer), Ok(()));
    assert_eq!(sum(&new.quarantine.all()), sum(&old.quarantine.all()));
    assert_eq!(new.quarantine.all().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn entries_that_know_the_same_do_not_answer() {
    let (mut old, mut new) = (entry(1, 2), entry(2, 2));
    old.quarantine.merge(&[crash(1)]);
    new.quarantine.merge(&[crash(1)]);
    old.due();
    for (_, asked) in new.due() {
        assert_eq!(old.receive(address(2), &asked), Ok(()));
    }
    assert_eq!(old.due(), []);
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
    nothing: &[];
    an_unknown_message: &[9, 1];
    more_sightings_than_bytes: &[0, 255, 255, 255, 255, 15];
    bytes_left_over: &[1, 0, 0];
}
