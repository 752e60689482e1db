use super::*;

const T0: Micros = Micros::ZERO;

fn key() -> Digest {
    Digest::of_key("school", b"order-1")
}

fn request(body: &[u8]) -> Digest {
    Digest::of(&[b"POST", b"/run", body])
}

fn claim(id: u128) -> Record {
    Record::Claim(Claim {
        id: ClaimId(id),
        account: "school".to_owned(),
        key: key(),
        request: request(b"a"),
        entry: "127.0.0.1:9000".parse().expect("an address"),
        boot: BootId(id as u64),
    })
}

fn report(id: u128, boot: u64, outcome: ClaimOutcome) -> Record {
    Record::Report(ClaimReport {
        id: ClaimId(id),
        key: key(),
        boot: BootId(boot),
        outcome,
    })
}

fn read(records: &[Record]) -> Claims {
    let mut claims = Claims::new();
    for id in 1..9 {
        claims.register(T0, ClaimId(id));
    }
    (0..).zip(records).for_each(|(offset, r)| {
        claims.apply(offset, r);
    });
    claims.caught_up(0);
    claims
}

fn holder_id(claims: &Claims) -> Option<u128> {
    match claims.lookup(key(), request(b"a")) {
        KeyState::Held(holder) => Some(holder.id.0),
        KeyState::Free | KeyState::Reused => None,
    }
}

/// Defines one test per case: the records in the order of their offsets, and the claim that holds
/// the key after them.
macro_rules! cases {
    ($($name:ident: [$($record:expr),*] => $holder_id:expr)*) => {
        $(#[test]
        fn $name() {
            assert_eq!(holder_id(&read(&[$($record),*])), $holder_id);
        })*
    };
}

cases! {
    unused_key_has_no_holder: [] => None
    lowest_offset_holds: [claim(1), claim(2)] => Some(1)
    duplicate_claim_is_ignored: [claim(1), claim(1), claim(2)] => Some(1)
    done_claim_keeps_the_key: [claim(1), report(1, 1, ClaimOutcome::Done { status: 200 }), claim(2)] => Some(1)
    unknown_claim_keeps_the_key: [claim(1), report(1, 1, ClaimOutcome::Unknown), claim(2)] => Some(1)
    release_frees_the_key: [claim(1), report(1, 1, ClaimOutcome::NotRun)] => None
    claim_after_release_holds: [claim(1), report(1, 1, ClaimOutcome::NotRun), claim(2)] => Some(2)
    unreleased_loser_holds_after_release: [claim(1), claim(2), report(1, 1, ClaimOutcome::NotRun)] => Some(2)
 released_loser_does_not_hold: [claim(1), claim(2), report(2, 2, ClaimOutcome::NotRun), report(1, 1, ClaimOutcome::NotRun)] => None
    other_process_instance_cannot_release: [claim(1), report(1, 2, ClaimOutcome::NotRun), claim(2)] => Some(1)
    release_of_loser_keeps_the_holder: [claim(1), claim(2), report(2, 2, ClaimOutcome::NotRun)] => Some(1)
    possibly_run_request_is_not_released:
        [claim(1), report(1, 1, ClaimOutcome::Unknown), report(1, 1, ClaimOutcome::NotRun), claim(2)] => Some(1)
}

#[test]
fn status_follows_offsets() {
    let claims = read(&[claim(1), claim(2)]);
    assert_eq!(claims.status(ClaimId(1)), Some(ClaimStatus::Won(0)));
    assert_eq!(claims.status(ClaimId(2)), Some(ClaimStatus::Lost));
    assert_eq!(claims.status(ClaimId(3)), Some(ClaimStatus::Pending));
    assert_eq!(claims.status(ClaimId(99)), None);
}

#[test]
fn different_body_is_key_reuse() {
    let claims = read(&[claim(1)]);
    assert_eq!(claims.lookup(key(), request(b"b")), KeyState::Reused);
}

#[test]
fn holder_beyond_ttl_does_not_dispatch() {
    let claims = read(&[claim(1)]);
    assert_eq!(claims.dispatch_fence(CLAIM_TTL, ClaimId(1)), Some(0));
    assert_eq!(
        claims.dispatch_fence(CLAIM_TTL + Micros(1), ClaimId(1)),
        None
    );
}

#[test]
fn expired_claim_does_not_dispatch() {
    let mut claims = read(&[claim(1)]);
    claims.caught_up(1);
    assert_eq!(holder_id(&claims), None);
    assert_eq!(claims.dispatch_fence(T0, ClaimId(1)), None);
}

#[test]
fn records_round_trip() {
    for record in [claim(1), report(1, 1, ClaimOutcome::Done { status: 200 })] {
        let bytes = record.encode().expect("a short record");
        assert_eq!(Record::try_from(&bytes[..]).expect("a record"), record);
    }
    assert!(Record::try_from(&[9u8, 0][..]).is_err());
    assert!(Record::try_from(&[][..]).is_err());
}

#[test]
fn abandoned_claim_is_released_when_read_back() {
    let mut claims = Claims::new();
    claims.register(T0, ClaimId(1));
    assert!(claims.abandon(ClaimId(1)));
    let release = claims.apply(0, &claim(1)).expect("a release");
    assert_eq!(claims.status(ClaimId(1)), Some(ClaimStatus::Abandoned));
    assert_eq!(claims.apply(1, &Record::Report(release)), None);
    assert_eq!(holder_id(&claims), None);
}

#[test]
fn decided_claim_cannot_be_abandoned() {
    let mut claims = read(&[claim(1)]);
    assert!(!claims.abandon(ClaimId(1)));
    assert_eq!(claims.status(ClaimId(1)), Some(ClaimStatus::Won(0)));
}

#[test]
fn lost_claim_is_released() {
    let mut claims = Claims::new();
    claims.register(T0, ClaimId(2));
    assert_eq!(claims.apply(0, &claim(1)), None);
    let release = claims.apply(1, &claim(2)).expect("a release");
    assert_eq!(
        (release.id, release.outcome),
        (ClaimId(2), ClaimOutcome::NotRun)
    );
    assert_eq!(claims.dispatch_fence(T0, ClaimId(2)), None);
}

#[test]
fn readers_agree_on_the_holder_after_expiry() {
    let mut old = read(&[claim(1), claim(2)]);
    old.caught_up(1);
    let mut new = Claims::new();
    new.caught_up(1);
    new.apply(1, &claim(2));
    assert_eq!(holder_id(&old), Some(2));
    assert_eq!(holder_id(&new), Some(2));
}

#[test]
fn full_table_is_not_ready() {
    let mut claims = read(&[]);
    claims.register(T0, ClaimId(0));
    let last = MAX_CLAIMS as u64;
    for n in 0..=last {
        let Record::Claim(mut other) = claim((last - n).into()) else {
            unreachable!("a claim");
        };
        other.key = Digest::of(&[&n.to_be_bytes()]);
        claims.apply(n, &Record::Claim(other));
    }
    assert_eq!(claims.len(), MAX_CLAIMS);
    assert!(!claims.ready());
    assert_eq!(claims.status(ClaimId(0)), Some(ClaimStatus::Lost));
    claims.caught_up(1);
    assert!(claims.ready());
}
