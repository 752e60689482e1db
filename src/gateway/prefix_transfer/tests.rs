use super::{Missing, Sources, TransferRate, TransferSource, plan};
use crate::gateway::peers::member::ZoneTag;
use crate::gateway::targets::{Entry, TargetKey, Targets};

/// Time to prefill the prefix, in microseconds.
const PREFILL: f64 = 200_000.0;
const TOKENS: f64 = 13_300.0;

fn keys() -> [TargetKey; 3] {
    let mut targets = Targets::default();
    for port in 1..=3 {
        let entry = Entry {
            service: "model".into(),
            addr: ([127, 0, 0, 1], port).into(),
            zone: "a".into(),
            slots: 4,
            draining: false,
            version: Some("v1".into()),
            started_at: None,
            cold: None,
        };
        targets.put(&port.to_string(), entry);
    }
    let keys = targets.of_service("model");
    [keys[0], keys[1], keys[2]]
}

fn rate() -> TransferRate {
    TransferRate::new(35_136.0, 740e9).expect("it is a rate")
}

/// Guards against a transfer that is slower than prefilling, and one from the wrong source: the index
/// of the source that target 0 in zone a fetches from. Sources have a zone, a probability that they
/// have cached the prefix, and a queue in tokens.
macro_rules! plans {
    ($($name:ident: $prefill:expr, $(($key:expr, $zone:expr, $cached:expr, $queued:expr)),* => $source:expr;)*) => {$(
        #[test]
        fn $name() {
            let keys = keys();
            let sources: Sources = [$(TransferSource {
                key: keys[$key],
                zone: ZoneTag::of($zone),
                cached: $cached,
                queued: $queued,
            }),*].into_iter().collect();
            let missing = Missing {
                target: keys[0],
                zone: ZoneTag::of("a"),
                tokens: TOKENS,
                prefill_us: $prefill,
            };
            let transfer = plan(rate(), &sources, &missing);
            let source: Option<usize> = $source;
            assert_eq!(transfer.map(|transfer| transfer.source), source.map(|index| keys[index]));
        }
    )*};
}

plans! {
    from_the_owner: PREFILL, (1, "a", 1.0, 0) => Some(1);
    from_the_likelier_of_two: PREFILL, (1, "a", 0.3, 0), (2, "a", 0.9, 0) => Some(2);
    from_the_nearer_of_two: PREFILL, (1, "b", 0.9, 0), (2, "a", 0.9, 0) => Some(2);
    from_the_one_without_a_queue: PREFILL, (1, "a", 0.9, 200_000), (2, "a", 0.9, 0) => Some(2);
    not_from_itself: PREFILL, (0, "a", 1.0, 0) => None;
    not_if_prefilling_is_as_quick: 15_000.0, (1, "a", 1.0, 0) => None;
    not_from_a_busy_link: PREFILL, (1, "a", 1.0, 2_000_000) => None;
    not_from_one_that_has_nothing: PREFILL, (1, "a", 0.0, 0) => None;
    not_from_one_that_rarely_has_it_over_a_slow_link: PREFILL, (1, "b", 0.05, 100_000) => None;
}

/// Guards against transfers that seem to take no time, or for ever, because of an odd figure.
#[test]
fn odd_figures_give_no_rate() {
    for (bytes, bits) in [
        (0.0, 1e9),
        (1e4, 0.0),
        (f64::NAN, 1e9),
        (1e4, f64::INFINITY),
        (-1.0, 1e9),
    ] {
        assert_eq!(TransferRate::new(bytes, bits), None, "{bytes} {bits}");
    }
}
