use super::{Kept, PART_LIFE, Part, Prompt};
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

macro_rules! kept {
    ($($name:ident: $read:expr, $asked:expr => $tokens:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut kept = Kept::default();
            kept.read(Micros::ZERO, &prompt(&$read));
            assert_eq!(kept.tokens(Micros::ZERO, &prompt(&$asked)), $tokens);
        }
    )*};
}

kept! {
    the_same_prompt: [(1, 100), (2, 50)], [(1, 100), (2, 50)] => 150;
    a_shared_part: [(1, 100), (2, 50)], [(1, 100), (3, 70)] => 100;
    nothing_in_common: [(1, 100)], [(3, 70)] => 0;
    a_part_after_one_that_is_not_kept: [(1, 100), (2, 50)], [(3, 70), (2, 50)] => 0;
}

#[test]
fn a_part_that_was_not_used_for_long_is_gone() {
    let mut kept = Kept::default();
    let asked = prompt(&[(1, 100)]);
    kept.read(Micros::ZERO, &asked);
    assert_eq!(kept.tokens(PART_LIFE, &asked), 0);
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut kept = Kept::default();
    for id in 0..20_000 {
        kept.read(Micros::ZERO, &prompt(&[(id, 10)]));
    }
    assert!(kept.parts.len() <= super::MAX_PARTS);
}

#[test]
fn requests_with_the_same_shared_parts_have_the_same_name() {
    let (a, b) = (
        prompt(&[(1, 9), (2, 9), (7, 1)]),
        prompt(&[(1, 9), (2, 9), (8, 1)]),
    );
    assert_eq!(a.shared(), b.shared());
    assert_ne!(a.shared(), prompt(&[(2, 9), (1, 9), (7, 1)]).shared());
    assert_eq!(prompt(&[(7, 1)]).shared(), 0);
}
