use super::{Source, Sources, TransferRate, plan};
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

fn source(key: TargetKey, cached: f64, queued: u64, is_local: bool) -> Source {
    Source {
        key,
        cached,
        queued,
        is_local,
    }
}

/// Guards against a transfer that is slower than prefilling, and one from the wrong source: the index
/// of the source that target 0 in this zone fetches from.
macro_rules! plans {
    ($($name:ident: $prefill:expr, $(($key:expr, $cached:expr, $queued:expr, $is_local:expr)),* => $source:expr;)*) => {$(
        #[test]
        fn $name() {
            let keys = keys();
            let sources: Sources = [$(source(keys[$key], $cached, $queued, $is_local)),*].into_iter().collect();
            let transfer = plan(rate(), &sources, (keys[0], true), TOKENS, $prefill);
            let source: Option<usize> = $source;
            assert_eq!(transfer.map(|transfer| transfer.source), source.map(|index| keys[index]));
        }
    )*};
}

plans! {
    from_the_owner: PREFILL, (1, 1.0, 0, true) => Some(1);
    from_the_likelier_of_two: PREFILL, (1, 0.3, 0, true), (2, 0.9, 0, true) => Some(2);
    from_the_nearer_of_two: PREFILL, (1, 0.9, 0, false), (2, 0.9, 0, true) => Some(2);
    from_the_one_without_a_queue: PREFILL, (1, 0.9, 200_000, true), (2, 0.9, 0, true) => Some(2);
    not_from_itself: PREFILL, (0, 1.0, 0, true) => None;
    not_if_prefilling_is_as_quick: 15_000.0, (1, 1.0, 0, true) => None;
    not_from_a_busy_link: PREFILL, (1, 1.0, 2_000_000, true) => None;
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
