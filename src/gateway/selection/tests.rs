use std::sync::LazyLock;

use super::{Choice, Criteria, choose};
use crate::gateway::peers::member::ZoneTag;
use crate::gateway::position::{Era, Position};
use crate::gateway::prefix_transfer::TransferRate;
use crate::gateway::prompts::{Part, Prompt};
use crate::gateway::regions::AllowedZones;
use crate::gateway::reservation::ReservationContext;
use crate::gateway::restrictions::evacuations::Evacuations;
use crate::gateway::targets::{Entry, TargetKey, Targets};
use crate::gateway::versions::VersionRule;
use crate::units::Micros;

static NO_EVACUATIONS: LazyLock<Evacuations> = LazyLock::new(Evacuations::default);

const NO_RESERVATIONS: ReservationContext = ReservationContext {
    max_ttl: None,
    tightest_objective: Micros::from_ms(600),
    backlog: Micros::ZERO,
};
const NOW: Micros = Micros::from_secs(1);
const RATE: f64 = 100.0;
const SHARED_TOKENS: u64 = 13_000;
const OWN_TOKENS: u64 = 3_000;

fn fleet(count: u16, service: &str) -> Targets {
    let mut targets = Targets::default();
    for index in 0..count {
        let entry = Entry {
            service: service.into(),
            addr: ([127, 0, 0, 1], 1_000 + index).into(),
            zone: if index % 2 == 0 { "a" } else { "b" }.into(),
            slots: 4,
            draining: false,
            version: Some("v1".into()),
            started_at: None,
            cold: None,
        };
        targets.put(&format!("target-{index}"), entry);
    }
    targets
}

fn prompt(shared: u64, own: u64) -> Prompt {
    let part = |id, tokens| Part { id, tokens };
    Prompt {
        tokens: SHARED_TOKENS + OWN_TOKENS,
        output: 100,
        parts: [part(shared, SHARED_TOKENS), part(own, OWN_TOKENS)]
            .into_iter()
            .collect(),
    }
}

fn criteria(prompt: Option<&Prompt>, random: u64) -> Criteria<'_> {
    Criteria {
        service: "model",
        prompt,
        zone: "a",
        tried: &[],
        versions: VersionRule::Any,
        evacuations: &NO_EVACUATIONS,
        allowed_zones: &AllowedZones::All,
        prefill_rate: RATE,
        transfer_rate: None,
        reservations: NO_RESERVATIONS,
        latency_objective: Micros::from_ms(600),
        body_bytes: 1_000,
        emptied: None,
        random,
    }
}

fn select(targets: &Targets, prompt: Option<&Prompt>, random: u64) -> Option<Choice> {
    choose(targets, NOW, &criteria(prompt, random))
}

/// Sends a request that stays in the target's load.
fn send(targets: &mut Targets, prompt: &Prompt, random: u64) -> Choice {
    let choice = select(targets, Some(prompt), random).expect("there are targets");
    let target = targets.get_mut(choice.target).expect("it was just chosen");
    target.load.active += 1;
    target.load.prefill_tokens += choice.prefill_tokens;
    target.cache.insert(NOW, prompt);
    choice
}

#[test]
fn all_gateways_choose_the_same_target_for_an_unseen_prefix() {
    let targets = fleet(18, "model");
    let first = select(&targets, Some(&prompt(5, 100)), 1).map(|c| c.target);
    for random in 2..50 {
        let other = select(&targets, Some(&prompt(5, 100 + random)), random);
        assert_eq!(other.map(|c| c.target), first);
    }
}

#[test]
fn prefixes_spread_over_the_targets() {
    let targets = fleet(18, "model");
    let mut counts = std::collections::HashMap::<TargetKey, u32>::new();
    for shared in 1..=400 {
        let choice = select(&targets, Some(&prompt(shared, 9_000 + shared)), shared);
        *counts
            .entry(choice.expect("there are targets").target)
            .or_default() += 1;
    }
    assert_eq!(counts.len(), 18);
    assert!(counts.values().all(|&count| count < 60), "{counts:?}");
}

/// Nearly all requests share one prefix, far more than one target can prefill in time.
#[test]
fn a_prefix_in_high_demand_spreads_only_as_far_as_needed() {
    let mut targets = fleet(18, "model");
    let choices: Vec<Choice> = (0..60)
        .map(|own| send(&mut targets, &prompt(5, 1_000 + own), own))
        .collect();
    let read: u64 = choices.iter().map(|choice| choice.prefill_tokens).sum();
    let used: std::collections::HashSet<TargetKey> = choices.iter().map(|c| c.target).collect();
    assert!(used.len() >= 3, "targets used: {}", used.len());
    let least = 60 * OWN_TOKENS;
    assert!(read <= least + used.len() as u64 * SHARED_TOKENS);
    let busiest = choices
        .iter()
        .map(|choice| choice.expected)
        .max()
        .expect("there are choices");
    assert!(busiest <= Micros::from_ms(600), "{busiest}");
}

#[test]
fn targets_of_an_evacuated_zone_are_not_chosen_even_if_no_other_has_room() {
    let targets = fleet(18, "model");
    let evacuations = Evacuations::new(Position::new(Era(0), 1), [ZoneTag::of("a")].into_iter());
    for shared in 1..50 {
        let prompt = prompt(shared, 9_000 + shared);
        let criteria = Criteria {
            evacuations: &evacuations,
            ..criteria(Some(&prompt), shared)
        };
        let choice = choose(&targets, NOW, &criteria).expect("zone b has targets");
        let target = targets.get(choice.target).expect("it was just chosen");
        assert_eq!(target.entry.zone.as_ref(), "b");
    }
    let all = Evacuations::new(
        Position::new(Era(0), 1),
        ["a", "b"].into_iter().map(ZoneTag::of),
    );
    let criteria = Criteria {
        evacuations: &all,
        ..criteria(None, 1)
    };
    assert_eq!(choose(&targets, NOW, &criteria), None);
}

/// Guards against a request that leaves its regions, and against prefixes of restricted requests that
/// count as just moved, and so as not cached, because their owner among all targets is elsewhere.
#[test]
fn a_restricted_request_has_its_prefix_at_an_owner_in_its_regions() {
    let targets = fleet(18, "model");
    let zones = AllowedZones::Only([ZoneTag::of("b")].as_slice().into());
    for shared in 1..50 {
        let prompt = prompt(shared, 9_000 + shared);
        let criteria = Criteria {
            allowed_zones: &zones,
            ..criteria(Some(&prompt), shared)
        };
        let choice = choose(&targets, NOW, &criteria).expect("zone b has targets");
        let target = targets.get(choice.target).expect("it was just chosen");
        assert_eq!(target.entry.zone.as_ref(), "b");
        assert_eq!(choice.prefill_tokens, OWN_TOKENS);
    }
}

/// All prefixes are requested at once, before any target has cached one.
#[test]
fn at_the_first_start_prefixes_count_as_not_cached_at_their_preferred_target() {
    let targets = fleet(18, "model");
    let prompt = prompt(5, 100);
    let warm = criteria(Some(&prompt), 1);
    let cold = Criteria {
        emptied: Some(NOW),
        ..warm
    };
    let choose = |criteria| choose(&targets, NOW, &criteria).expect("there are targets");
    assert_eq!(choose(warm).prefill_tokens, OWN_TOKENS);
    assert_eq!(choose(cold).prefill_tokens, OWN_TOKENS + SHARED_TOKENS);
    assert_eq!(choose(cold).target, choose(warm).target);
}

/// The time in milliseconds until the first event of a prompt with these shared and own tokens, none
/// of them cached, is expected at an idle target with this configured prefill rate. Guards against a
/// configured token rate far below that of the engines, by which prompts count as late that an idle
/// target prefills in time.
macro_rules! expected_times {
    ($($name:ident: $rate:expr, $shared:expr, $own:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let targets = fleet(18, "model");
            let prompt = Prompt {
                tokens: $shared + $own,
                output: 100,
                parts: [Part { id: 5, tokens: $shared }, Part { id: 6, tokens: $own }].into_iter().collect(),
            };
            let criteria = Criteria {
                prefill_rate: $rate,
                emptied: Some(NOW),
                ..criteria(Some(&prompt), 1)
            };
            let choice = choose(&targets, NOW, &criteria).expect("there are targets");
            assert_eq!(choice.prefill_tokens, $shared + $own);
            assert_eq!(choice.expected, Micros::from_ms($expected));
        }
    )*};
}

expected_times! {
    a_prefix_counts_at_the_minimum_rate_if_the_configured_one_is_lower: 0.7, 10_000, 35 => 590;
    a_configured_rate_above_the_minimum_counts: 25.0, 10_000, 100 => 444;
    the_part_that_is_never_cached_counts_at_the_configured_rate: 5.0, 1_000, 1_000 => 290;
}

#[test]
fn a_removed_target_moves_only_its_own_prefixes() {
    let mut targets = fleet(18, "model");
    let before: Vec<Choice> = (1..=200)
        .filter_map(|shared| select(&targets, Some(&prompt(shared, 9_000)), 0))
        .collect();
    let lost = targets
        .get(before[0].target)
        .expect("it is there")
        .id
        .clone();
    targets.remove(&lost);
    for (choice, shared) in before.iter().zip(1..=200) {
        let after = select(&targets, Some(&prompt(shared, 9_000)), 0).expect("some are left");
        assert!(after.target == choice.target || choice.target == before[0].target);
    }
}

macro_rules! avoided {
    ($($name:ident: $change:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut targets = fleet(4, "model");
            let prompt = prompt(5, 100);
            let first = select(&targets, Some(&prompt), 0).expect("there are targets").target;
            let change: fn(&mut crate::gateway::targets::Target) = $change;
            change(targets.get_mut(first).expect("it was just chosen"));
            let next = select(&targets, Some(&prompt), 0).expect("others are left").target;
            assert_ne!(next, first);
        }
    )*};
}

avoided! {
    a_draining_target: |target| target.entry.draining = true;
    a_paused_target: |target| target.load.paused_until = NOW + Micros::from_ms(1);
    a_slow_target: |target| (target.load.slowness, target.load.measured_at) = (8.0, NOW);
    a_target_with_a_prefill_backlog: |target| target.load.prefill_tokens = 80_000;
    a_target_loaded_by_other_gateways: |target| target.load.peer_load = Some(crate::gateway::peers::totals::TargetLoad { active: 9, prefill_tokens: 80_000 });
}

#[test]
fn if_all_targets_are_paused_one_is_chosen_all_the_same() {
    let mut targets = fleet(2, "model");
    for target in targets.iter_mut() {
        target.load.paused_until = NOW + Micros::from_secs(1);
    }
    assert!(select(&targets, None, 0).is_some());
}

#[test]
fn nothing_is_chosen_without_a_target() {
    assert!(select(&fleet(3, "desk"), None, 0).is_none());
}

#[test]
fn plain_calls_stay_in_the_zone_until_it_is_busy() {
    let mut targets = fleet(2, "model");
    let mut zones = Vec::new();
    for random in 0..8 {
        let choice = select(&targets, None, random).expect("there are targets");
        let target = targets.get_mut(choice.target).expect("it was just chosen");
        target.load.active += 1;
        zones.push(target.entry.zone.to_string());
    }
    assert_eq!(zones[0], "a");
    assert!(zones.contains(&"b".to_owned()));
}

#[test]
fn a_target_that_was_slow_is_chosen_again() {
    let mut targets = fleet(1, "model");
    let slow = targets.of_service("model")[0];
    let entry = targets.get(slow).expect("it is listed").entry.clone();
    targets.put("other", entry);
    let busy = targets.of_service("model")[1];
    let load = &mut targets.get_mut(slow).expect("it is listed").load;
    (load.slowness, load.measured_at) = (8.0, NOW);
    let load = &mut targets.get_mut(busy).expect("it is listed").load;
    load.prefill_tokens = 2 * OWN_TOKENS;
    let chosen = |now| choose(&targets, now, &criteria(Some(&prompt(0, 1)), 7)).map(|c| c.target);
    assert_eq!(chosen(NOW), Some(busy));
    assert_eq!(chosen(NOW + Micros::from_secs(20)), Some(slow));
}

/// Names a limit for a target, with no room left.
fn close(targets: &mut Targets, key: TargetKey) {
    let target = targets.get_mut(key).expect("it is listed");
    target.limit.observe(NOW, Some(1.0));
    target.limit.refill(NOW, 1.0, 0.0);
}

#[test]
fn a_target_without_room_within_its_limit_gets_nothing() {
    let mut targets = fleet(4, "model");
    let preferred = select(&targets, Some(&prompt(5, 100)), 1).expect("there are targets");
    close(&mut targets, preferred.target);
    let other = select(&targets, Some(&prompt(5, 100)), 1).expect("others have room");
    assert_ne!(other.target, preferred.target);
}

#[test]
fn a_target_without_room_is_not_chosen_although_all_others_are_paused() {
    let mut targets = fleet(2, "model");
    let keys = targets.of_service("model").to_vec();
    close(&mut targets, keys[0]);
    let paused = targets.get_mut(keys[1]).expect("it is listed");
    paused.load.paused_until = Micros::from_secs(9);
    let chosen = select(&targets, None, 1).map(|choice| choice.target);
    assert_eq!(chosen, Some(keys[1]));
}

#[test]
fn nothing_is_chosen_while_no_target_has_room() {
    let mut targets = fleet(2, "model");
    for key in targets.of_service("model").to_vec() {
        close(&mut targets, key);
    }
    assert_eq!(select(&targets, None, 1), None);
}

/// Criteria of engines that transfer cached prompts.
fn with_transfers(prompt: &Prompt, random: u64) -> Criteria<'_> {
    Criteria {
        transfer_rate: TransferRate::new(35_136.0, 740e9),
        ..criteria(Some(prompt), random)
    }
}

/// Replays requests for many prefixes while their owner is busy with long prompts: without transfers
/// each of them would be prefilled anew and delay those behind it.
#[test]
fn prefixes_of_a_busy_owner_are_fetched_and_not_prefilled() {
    for shared in 1..=100 {
        let mut targets = fleet(18, "model");
        let prompt = prompt(shared, 9_000 + shared);
        let owner = select(&targets, Some(&prompt), shared).expect("there are targets");
        let busy = targets.get_mut(owner.target).expect("it was just chosen");
        busy.load.prefill_tokens = 120_000;
        let without = select(&targets, Some(&prompt), shared).expect("others are left");
        let with = choose(&targets, NOW, &with_transfers(&prompt, shared));
        let with = with.expect("others are left");
        assert_eq!(without.prefill_tokens, OWN_TOKENS + SHARED_TOKENS);
        assert_eq!(
            with.transfer.map(|planned| planned.source),
            Some(owner.target)
        );
        assert_eq!(with.prefill_tokens, OWN_TOKENS);
        assert!(with.expected + Micros::from_ms(100) < without.expected);
    }
}

/// Guards against a fetch from a target that may not be used: what happens to the one that has cached
/// the prefix.
macro_rules! unusable_sources {
    ($($name:ident: $change:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut targets = fleet(18, "model");
            let prompt = prompt(5, 100);
            let owner = select(&targets, Some(&prompt), 1).expect("there are targets").target;
            let change: fn(&mut crate::gateway::targets::Target) = $change;
            change(targets.get_mut(owner).expect("it is listed"));
            let moved = choose(&targets, NOW, &with_transfers(&prompt, 1)).expect("others are left");
            assert_ne!(moved.target, owner);
            assert_ne!(moved.transfer.map(|planned| planned.source), Some(owner));
        }
    )*};
}

unusable_sources! {
    nothing_is_fetched_from_a_draining_target: |target| target.entry.draining = true;
    nothing_is_fetched_from_a_paused_target: |target| target.load.paused_until = NOW + Micros::from_ms(1);
}

/// Replays short prompts that arrive while every target has a backlog of long ones, far more than the
/// tightest objective allows.
#[test]
fn short_prompts_are_on_time_beside_long_ones() {
    let mut targets = fleet(18, "model");
    for target in targets.iter_mut() {
        target.load.prefill_tokens = 3 * (OWN_TOKENS + SHARED_TOKENS);
        target.load.active = 3;
    }
    let short = Prompt {
        tokens: 1_200,
        output: 40,
        parts: [Part {
            id: 7,
            tokens: 1_200,
        }]
        .into_iter()
        .collect(),
    };
    let waiting = criteria(Some(&short), 1);
    let reserving = Criteria {
        reservations: ReservationContext {
            max_ttl: Some(Micros::from_secs(2)),
            backlog: Micros::from_ms(400),
            ..NO_RESERVATIONS
        },
        ..waiting
    };
    let expected = |criteria| choose(&targets, NOW, criteria).expect("there are targets");
    let (waits, passes) = (expected(&waiting), expected(&reserving));
    let objective = reserving.latency_objective;
    assert!(waits.expected > Micros(objective.0 * 4 / 5), "{waits:?}");
    assert!(passes.expected < Micros(objective.0 / 3), "{passes:?}");
    assert!(passes.reservation.is_some());
    let long = prompt(5, 100);
    let uncached = Criteria {
        prompt: Some(&long),
        emptied: Some(NOW),
        ..reserving
    };
    assert_eq!(expected(&uncached).reservation, None);
}
