use super::{CRASH_TTL, CrashTag, Evidence, MAX_SUBJECTS, SENDS_PER_CHANGE, Selection, Suspicion};
use crate::units::Micros;

const CULPRIT: u64 = 0xdead;
const NOW: Micros = Micros::from_secs(10);
const SMALL: Selection = Selection {
    count: 16,
    relays: true,
};

fn suspicion(subject: u64, crash: u32) -> Suspicion {
    Suspicion {
        subject,
        crash: CrashTag(crash),
        at: NOW,
        flight: Micros::from_ms(10),
        cleared: false,
    }
}

fn evidence(suspicions: impl Iterator<Item = Suspicion>) -> Evidence {
    let mut evidence = Evidence::default();
    for suspicion in suspicions {
        evidence.insert(NOW, suspicion, true, |_| false);
    }
    evidence
}

/// Number of messages until each suspicion has been sent; `None` if some never is.
fn messages_until_all_sent(evidence: &mut Evidence, count: usize) -> Option<usize> {
    let mut sent = std::collections::HashSet::new();
    (1..=4 * count).find(|_| {
        let due = evidence.to_send(NOW, SMALL, |_, _| false);
        sent.extend(due.suspicions.iter().map(|s| (s.subject, s.crash)));
        sent.len() == count
    })
}

/// Guards against suspicions that are crowded out of the messages by others (review of gateways, first case).
#[test]
fn each_suspicion_is_sent_before_any_is_sent_twice() {
    let rows = (0..160).map(|subject| suspicion(subject, subject as u32 % 3));
    let mut evidence = evidence(rows);
    assert_eq!(messages_until_all_sent(&mut evidence, 160), Some(10));
}

/// Guards against new suspicions that wait behind those sent again and again.
#[test]
fn what_stands_leaves_room_for_what_is_new_and_the_other_way_round() {
    let standing = (0..100).flat_map(|subject| [suspicion(subject, 1), suspicion(subject, 2)]);
    let mut evidence = evidence(standing);
    let stands = |_, counted| counted >= 2;
    for _ in 0..200 * SENDS_PER_CHANGE {
        evidence.to_send(NOW, SMALL, stands);
    }
    for subject in 1_000..1_012 {
        evidence.insert(NOW, suspicion(subject, 3), true, |_| false);
    }
    let due = evidence.to_send(NOW, SMALL, stands);
    let new = due.suspicions.iter().filter(|s| s.subject >= 1_000);
    assert_eq!((new.count(), due.suspicions.len()), (12, 16));
    assert_eq!(due.left_out, 12 + 200 - 16);
}

#[test]
fn a_suspicion_is_sent_a_few_times_only() {
    let mut evidence = evidence([suspicion(CULPRIT, 1)].into_iter());
    let sent = (0..100).map(|_| evidence.to_send(NOW, SMALL, |_, _| false).suspicions.len());
    assert_eq!(sent.sum::<usize>(), SENDS_PER_CHANGE as usize);
    assert_eq!(evidence.clear(CULPRIT, NOW + Micros(1)), 1);
    assert_eq!(
        evidence.to_send(NOW, SMALL, |_, _| false).suspicions.len(),
        1
    );
}

#[test]
fn a_gateway_that_does_not_relay_tells_what_it_has_seen_itself() {
    let mut evidence = evidence([suspicion(CULPRIT, 1)].into_iter());
    evidence.insert(NOW, suspicion(CULPRIT, 2), false, |_| false);
    let own = Selection {
        relays: false,
        ..SMALL
    };
    let due = evidence.to_send(NOW, own, |_, _| false);
    assert_eq!(due.suspicions, [suspicion(CULPRIT, 1)]);
    assert_eq!(
        evidence.to_send(NOW, SMALL, |_, _| false).suspicions.len(),
        2
    );
}

/// Guards against a sound request that stays refused because its answer came at a gateway that does not
/// relay.
#[test]
fn a_gateway_that_does_not_relay_tells_what_it_has_cleared() {
    let mut evidence = Evidence::default();
    evidence.insert(NOW, suspicion(CULPRIT, 1), false, |_| false);
    evidence.clear(CULPRIT, NOW + Micros(1));
    let own = Selection {
        relays: false,
        ..SMALL
    };
    let due = evidence.to_send(NOW, own, |_, _| false);
    assert!(due.suspicions.iter().all(|suspicion| suspicion.cleared));
    assert_eq!(due.suspicions.len(), 1);
}

#[test]
fn what_has_expired_is_dropped() {
    let mut evidence = evidence([suspicion(CULPRIT, 1)].into_iter());
    evidence.to_send(NOW + CRASH_TTL, SMALL, |_, _| false);
    assert!(evidence.is_empty());
}

#[test]
fn the_subjects_suspected_in_fewest_crashes_make_room() {
    let culprit = [1, 2].map(|crash| suspicion(CULPRIT, crash));
    let others = (0..2 * MAX_SUBJECTS as u64).map(|number| suspicion(0x1_0000 + number, 3));
    let evidence = evidence(culprit.into_iter().chain(others));
    assert_eq!(evidence.len(), MAX_SUBJECTS);
    assert_eq!(evidence.of_subject(NOW, CULPRIT).len(), 2);
}

#[test]
fn an_expired_suspicion_is_not_taken() {
    let mut evidence = Evidence::default();
    assert_eq!(
        evidence.insert(NOW + CRASH_TTL, suspicion(CULPRIT, 1), false, |_| false),
        0
    );
    assert!(evidence.is_empty());
}
