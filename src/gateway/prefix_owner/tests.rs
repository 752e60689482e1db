use super::{Candidate, HALF_LIFE, Owners};
use crate::gateway::targets::{Entry, Target, TargetKey, Targets};
use crate::units::Micros;

const SERVICE: &str = "model";
const COUNT: u16 = 12;
const PREFIXES: u64 = 400;
/// Long after the start, so that all prefixes have been cached.
const NOW: Micros = Micros::from_secs(60);

fn entry(index: u16, draining: bool) -> Entry {
    Entry {
        service: SERVICE.into(),
        addr: ([127, 0, 0, 1], 1_000 + index).into(),
        zone: "a".into(),
        slots: 4,
        draining,
        version: Some("v1".into()),
        started_at: None,
        cold: None,
    }
}

fn id(index: u16) -> String {
    format!("target-{index}")
}

/// Targets that have been available since the start.
fn fleet() -> Targets {
    let mut targets = Targets::default();
    for index in 0..COUNT {
        targets.put(&id(index), entry(index, false));
    }
    look(&mut targets, Micros::from_secs(1));
    targets
}

fn look(targets: &mut Targets, now: Micros) {
    targets.refresh_availability(now, |target| !target.entry.draining);
}

fn assign(targets: &Targets, now: Micros, prefix: u64, emptied: Option<Micros>) -> Owners {
    let keys = targets.of_service(SERVICE).iter();
    let listed = keys.filter_map(|&key| targets.get(key).map(|target| (key, target)));
    let candidates = listed.map(|(key, target): (TargetKey, &Target)| Candidate {
        key,
        tag: target.tag,
        is_usable: !target.entry.draining,
        availability: target.availability,
    });
    Owners::assign(
        now,
        prefix,
        candidates,
        targets.departures(SERVICE),
        emptied,
    )
}

/// Number of prefixes that count as not cached, and their mean probability.
fn uncached(targets: &Targets, now: Micros) -> (usize, f64) {
    let owners = (1..=PREFIXES).map(|prefix| assign(targets, now, prefix, None).uncached);
    let uncached: Vec<f64> = owners.filter(|&p| p > 0.0).collect();
    let sum: f64 = uncached.iter().sum();
    (uncached.len(), sum / uncached.len().max(1) as f64)
}

/// What happens to the fleet, and how many of the prefixes are assigned anew by it: those of one
/// target of twelve, or none.
macro_rules! reassignments {
    ($($name:ident: $event:expr => $moved:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut targets = fleet();
            let event: fn(&mut Targets) = $event;
            event(&mut targets);
            let (moved, probability) = uncached(&targets, NOW);
            let even = PREFIXES as usize / usize::from(COUNT);
            if $moved {
                assert!((even / 2..even * 2).contains(&moved), "{moved}");
                assert!(probability > 0.99, "{probability}");
                let (_, later) = uncached(&targets, NOW + HALF_LIFE);
                assert!((0.45..0.55).contains(&later), "{later}");
            } else {
                assert_eq!(moved, 0);
            }
        }
    )*};
}

reassignments! {
    targets_that_have_run_for_long_have_their_prefixes: |_| {} => false;
    prefixes_of_a_draining_target_move: |targets| {
        targets.put(&id(3), entry(3, true));
        look(targets, NOW);
    } => true;
    prefixes_of_a_target_that_drained_and_was_removed_have_moved_once: |targets| {
        targets.put(&id(3), entry(3, true));
        look(targets, NOW);
        targets.remove(&id(3));
        look(targets, NOW + Micros::from_ms(900));
    } => true;
    prefixes_of_a_removed_target_move: |targets| {
        targets.remove(&id(3));
        look(targets, NOW);
    } => true;
    a_new_target_has_none_of_its_prefixes: |targets| {
        targets.put("late", entry(99, false));
        look(targets, NOW);
    } => true;
}

#[test]
fn a_departure_is_forgotten_when_its_prefixes_have_been_cached() {
    let mut targets = fleet();
    targets.remove(&id(3));
    look(&mut targets, NOW);
    let later = NOW + Micros::from_secs(30);
    look(&mut targets, later);
    assert_eq!(uncached(&targets, later).0, 0);
}

/// Guards against gateways that all send to one target at the first start, when no prefix is cached.
#[test]
fn after_a_first_start_no_prefix_counts_as_cached() {
    let targets = fleet();
    for prefix in 1..=PREFIXES {
        assert!(assign(&targets, NOW, prefix, Some(NOW)).uncached > 0.99);
    }
}

/// Guards against fetching from a target that does not have the prefix: when an owner comes back, its
/// prefixes are cached at those that took its place.
#[test]
fn a_returned_owner_can_fetch_from_the_one_before() {
    let mut targets = fleet();
    targets.put("late", entry(99, false));
    look(&mut targets, NOW);
    let late = *targets.of_service(SERVICE).last().expect("it is listed");
    let is_first = |owners: &Owners| owners.holders().next().map(|(key, _)| key) == Some(late);
    let mut returned = (1..=PREFIXES).map(|prefix| assign(&targets, NOW, prefix, None));
    let owners = returned.find(is_first).expect("it is the first of some");
    let cached: Vec<f64> = owners.holders().map(|(_, cached)| cached).collect();
    assert!(cached[0] < 0.01 && cached[1] > 0.99, "{cached:?}");
}
