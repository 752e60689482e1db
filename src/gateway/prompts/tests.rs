use super::{PART_TTL, Part, PrefixCache, Prompt};
use crate::units::Micros;

fn prompt(parts: &[(u64, u64)]) -> Prompt {
    Prompt {
        tokens: parts.iter().map(|&(_, tokens)| tokens).sum(),
        output: 10,
        parts: parts
            .iter()
            .map(|&(id, tokens)| Part { id, tokens })
            .collect(),
    }
}

macro_rules! cached {
    ($($name:ident: $read:expr, $asked:expr => $tokens:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut cache = PrefixCache::default();
            cache.insert(Micros::ZERO, &prompt(&$read));
            assert_eq!(cache.cached_tokens(Micros::ZERO, &prompt(&$asked)), $tokens);
        }
    )*};
}

cached! {
    the_same_prompt: [(1, 100), (2, 50)], [(1, 100), (2, 50)] => 150;
    a_shared_part: [(1, 100), (2, 50)], [(1, 100), (3, 70)] => 100;
    nothing_in_common: [(1, 100)], [(3, 70)] => 0;
    a_part_after_one_that_is_not_cached: [(1, 100), (2, 50)], [(3, 70), (2, 50)] => 0;
}

#[test]
fn a_part_expires_when_it_is_not_used() {
    let mut cache = PrefixCache::default();
    let asked = prompt(&[(1, 100)]);
    cache.insert(Micros::ZERO, &asked);
    assert_eq!(cache.cached_tokens(PART_TTL, &asked), 0);
}

#[test]
fn the_number_of_parts_is_bounded() {
    let mut cache = PrefixCache::default();
    for id in 0..20_000 {
        cache.insert(Micros::ZERO, &prompt(&[(id, 10)]));
    }
    assert!(cache.parts.len() <= super::MAX_PARTS);
}

#[test]
fn requests_with_the_same_shared_parts_have_the_same_hash() {
    let (a, b) = (
        prompt(&[(1, 9), (2, 9), (7, 1)]),
        prompt(&[(1, 9), (2, 9), (8, 1)]),
    );
    assert_eq!(a.prefix_hash(), b.prefix_hash());
    assert_ne!(
        a.prefix_hash(),
        prompt(&[(2, 9), (1, 9), (7, 1)]).prefix_hash()
    );
    assert_eq!(prompt(&[(7, 1)]).prefix_hash(), 0);
}
