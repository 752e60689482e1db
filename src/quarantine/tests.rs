use super::*;

const T0: Micros = Micros::ZERO;

fn digest() -> Digest {
    Digest::of(&[b"orders", b"POST", b"/run", b"body"])
}

fn crash(id: u64, age: Micros) -> QuarantineEvent {
    QuarantineEvent {
        digest: digest(),
        id,
        kind: EventKind::Crash,
        age,
    }
}

fn send_events(from: &Quarantine, to: &mut Quarantine, now: Micros) {
    let all: Vec<_> = from.events(now).collect();
    all.iter().for_each(|s| to.merge(now, s));
}

/// Defines one test per case, which runs its block on a new quarantine.
macro_rules! cases {
    ($($name:ident: |$q:ident| $body:block)*) => {
        $(#[test]
        fn $name() {
            let mut $q = Quarantine::new();
            $body
        })*
    };
}

cases! {
    unknown_request_is_admitted: |q| {
        assert_eq!(q.admit(T0, digest(), 1), Admission::Free);
    }
    first_crash_allows_one_trial_at_a_time: |q| {
        q.record_crash(T0, digest(), 1);
        assert_eq!(q.admit(T0, digest(), 2), Admission::Trial);
        assert_eq!(q.admit(T0, digest(), 3), Admission::Refused(TRIAL_TTL));
        q.end_trial(Micros(5), digest(), 2);
        assert_eq!(q.admit(Micros(5), digest(), 4), Admission::Trial);
    }
    refused_after_the_second_crash: |q| {
        q.record_crash(T0, digest(), 1);
        q.record_crash(T0, digest(), 2);
        assert_eq!(q.admit(T0, digest(), 3), Admission::Refused(CRASH_TTL));
        assert_eq!(q.admit(CRASH_TTL, digest(), 3), Admission::Free);
    }
    crash_from_a_peer_counts: |q| {
        let mut peer = Quarantine::new();
        peer.record_crash(T0, digest(), 1);
        send_events(&peer, &mut q, T0);
        q.record_crash(T0, digest(), 2);
        assert_eq!(q.admit(T0, digest(), 3), Admission::Refused(CRASH_TTL));
    }
    trial_of_a_peer_blocks_trials: |q| {
        let mut peer = Quarantine::new();
        peer.record_crash(T0, digest(), 1);
        assert_eq!(peer.admit(T0, digest(), 2), Admission::Trial);
        send_events(&peer, &mut q, T0);
        assert_eq!(q.admit(T0, digest(), 3), Admission::Refused(TRIAL_TTL));
    }
    duplicate_crash_counts_once: |q| {
        q.merge(T0, &crash(1, T0));
        q.merge(T0, &crash(1, Micros(9)));
        assert_eq!(q.admit(T0, digest(), 3), Admission::Trial);
    }
    exchange_does_not_extend_a_crash: |q| {
        let mut peer = Quarantine::new();
        q.record_crash(T0, digest(), 1);
        for s in 0..1_300 {
            let now = Micros::from_secs(s);
            let late: Vec<_> = q.events(now).collect();
            late.iter().for_each(|x| peer.merge(now + Micros::from_secs(5), x));
            let late: Vec<_> = peer.events(now).collect();
            late.iter().for_each(|x| q.merge(now + Micros::from_secs(5), x));
            q.expire(now);
            peer.expire(now);
        }
        assert_eq!(q.events(Micros::from_secs(1_300)).count(), 0);
        assert_eq!(peer.events(Micros::from_secs(1_300)).count(), 0);
    }
    digests_are_bounded: |q| {
        for n in 0..2 * MAX_DIGESTS as u64 {
            q.record_crash(Micros(n), Digest::of(&[&n.to_be_bytes()]), n);
        }
        assert_eq!(q.events(T0).count(), MAX_DIGESTS);
    }
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..Default::default()
    })]
    #[test]
    fn merging_is_commutative_and_idempotent(
        ages in proptest::collection::vec((0u64..12, 0u64..700), 0..24),
        rotation in 0usize..24,
    ) {
        let all: Vec<_> = ages
            .iter()
            .map(|&(id, age)| crash(id, Micros::from_secs(age)))
            .collect();
        let (mut one, mut other) = (Quarantine::new(), Quarantine::new());
        all.iter().for_each(|s| one.merge(T0, s));
        let mut reordered = all.clone();
        reordered.rotate_left(rotation.min(all.len()));
        reordered.reverse();
        reordered.iter().chain(&all).for_each(|s| other.merge(T0, s));
        let (one, other): (Vec<_>, Vec<_>) =
            (one.events(T0).collect(), other.events(T0).collect());
        proptest::prop_assert_eq!(one, other);
    }
}

/// Counts the targets that a request crashes when each of three entries runs it whenever admitted.
fn crash_count(merged: bool) -> usize {
    let mut entries = vec![Quarantine::new(); 3];
    let mut crashed = 0;
    for round in 0..30u64 {
        let now = Micros::from_secs(round);
        let entry = round as usize % entries.len();
        let trial = 2 * round;
        if matches!(
            entries[entry].admit(now, digest(), trial),
            Admission::Refused(_)
        ) {
            continue;
        }
        crashed += 1;
        entries[entry].record_crash(now, digest(), trial + 1);
        entries[entry].end_trial(now, digest(), trial);
        let from = entries[entry].clone();
        if merged {
            entries
                .iter_mut()
                .for_each(|to| send_events(&from, to, now));
        }
    }
    crashed
}

#[test]
fn merging_limits_a_request_to_two_crashes() {
    assert_eq!(crash_count(true), MAX_CRASHES);
}

#[test]
fn without_merging_a_request_crashes_more_targets() {
    assert!(crash_count(false) > MAX_CRASHES);
}
