use super::*;

fn buffer_with(frames: u64) -> ReplayBuffer<u64> {
    let mut buffer = ReplayBuffer::new();
    for seq in 0..frames {
        assert_eq!(buffer.push(seq, 10), seq);
    }
    buffer
}

fn replayed(buffer: &ReplayBuffer<u64>, next: u64) -> Option<Vec<u64>> {
    let frames = buffer.iter_from(next)?;
    Some(
        frames
            .map(|(seq, &frame)| (seq, frame))
            .map(|(a, b)| (a + b) / 2)
            .collect(),
    )
}

/// Defines one test per case: number of frames pushed, acknowledgements, first frame to replay, and
/// the frames replayed.
macro_rules! cases {
    ($($name:ident: $frames:expr, $acks:expr, $next:expr => $replayed:expr)*) => {
        $(#[test]
        fn $name() {
            let mut buffer = buffer_with($frames);
            let acks: &[u64] = &$acks;
            acks.iter().for_each(|&next| buffer.ack(next));
            assert_eq!(replayed(&buffer, $next), $replayed);
        })*
    };
}

cases! {
    replays_all: 3, [], 0 => Some(vec![0, 1, 2])
    replays_unacknowledged_frames: 3, [1], 1 => Some(vec![1, 2])
    replays_nothing_when_all_is_acknowledged: 3, [3], 3 => Some(vec![])
    late_and_duplicate_acks_are_ignored: 3, [2, 1, 2], 2 => Some(vec![2])
    acknowledged_frames_cannot_be_replayed: 3, [2], 1 => None
    ack_beyond_the_end_is_ignored: 2, [9], 2 => Some(vec![])
}

#[test]
fn buffer_is_full_at_the_byte_limit() {
    let mut buffer = ReplayBuffer::new();
    buffer.push(0, MAX_UNACKED_BYTES - 1);
    assert!(!buffer.is_full());
    buffer.push(1, 1);
    assert!(buffer.is_full());
    buffer.ack(1);
    assert!(!buffer.is_full());
}
