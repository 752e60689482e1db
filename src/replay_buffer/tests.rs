use super::*;

fn filled(pieces: u64) -> ReplayBuffer<u64> {
    let mut resume = ReplayBuffer::new();
    for seq in 0..pieces {
        assert_eq!(resume.push(seq, 10), seq);
    }
    resume
}

fn rest(resume: &ReplayBuffer<u64>, next: u64) -> Option<Vec<u64>> {
    let pieces = resume.iter_from(next)?;
    Some(
        pieces
            .map(|(seq, &piece)| (seq, piece))
            .map(|(a, b)| (a + b) / 2)
            .collect(),
    )
}

/// Names each case: pieces pushed, acknowledgements, where to resume, and what is sent.
macro_rules! cases {
    ($($name:ident: $pieces:expr, $acks:expr, $next:expr => $sent:expr)*) => {
        $(#[test]
        fn $name() {
            let mut resume = filled($pieces);
            let acks: &[u64] = &$acks;
            acks.iter().for_each(|&next| resume.ack(next));
            assert_eq!(rest(&resume, $next), $sent);
        })*
    };
}

cases! {
    sends_all: 3, [], 0 => Some(vec![0, 1, 2])
    sends_the_rest: 3, [1], 1 => Some(vec![1, 2])
    sends_nothing_new: 3, [3], 3 => Some(vec![])
    late_and_double_acks_change_nothing: 3, [2, 1, 2], 2 => Some(vec![2])
    what_was_acknowledged_is_gone: 3, [2], 1 => None
    an_ack_beyond_the_end_is_harmless: 2, [9], 2 => Some(vec![])
}

#[test]
fn reading_waits_while_full() {
    let mut resume = ReplayBuffer::new();
    resume.push(0, MAX_UNACKED_BYTES - 1);
    assert!(!resume.is_full());
    resume.push(1, 1);
    assert!(resume.is_full());
    resume.ack(1);
    assert!(!resume.is_full());
}
