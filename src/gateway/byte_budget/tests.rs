use super::{ByteBudget, HeldBuffer, MIN_GROWTH, NoRoom};

const LIMIT: usize = 30 << 20;
const PIECE: &[u8] = &[0; 8 * 1024];

/// Buffers that each grow by a piece in turn until none may.
fn without_end(budget: &ByteBudget, count: usize) -> Vec<HeldBuffer> {
    let mut buffers: Vec<HeldBuffer> = (0..count).map(|_| budget.buffer()).collect();
    let mut grows = true;
    while grows {
        grows = false;
        for buffer in &mut buffers {
            grows |= buffer.push(PIECE).is_ok();
        }
    }
    buffers
}

/// Guards against bytes without end that leave no room for other requests: whatever the number of
/// endless answers, the budget holds and a request of usual size still finds room.
macro_rules! floods {
    ($($name:ident: $count:expr;)*) => {$(
        #[test]
        fn $name() {
            let budget = ByteBudget::new(LIMIT);
            let buffers = without_end(&budget, $count);
            assert!(budget.used() <= LIMIT, "{}", budget.used());
            let mut sound = budget.buffer();
            assert_eq!(sound.push(&[0; 16 * 1024]), Ok(()));
            drop((buffers, sound));
            assert_eq!(budget.used(), 0);
        }
    )*};
}

floods! {
    one_answer_without_end: 1;
    ten_answers_without_end: 10;
    a_hundred_answers_without_end: 100;
    more_answers_without_end_than_have_room: 600;
}

#[test]
fn a_burst_of_large_bodies_is_turned_away_in_part() {
    let budget = ByteBudget::new(LIMIT);
    let bodies: Vec<HeldBuffer> = (0..100)
        .filter_map(|_| {
            let mut body = budget.buffer();
            body.reserve(4 << 20).is_ok().then_some(body)
        })
        .collect();
    assert_eq!(bodies.len(), 6);
    assert_eq!(budget.buffer().push(PIECE), Ok(()));
}

#[test]
fn what_is_held_counts_until_the_last_clone_is_dropped() {
    let budget = ByteBudget::new(LIMIT);
    let mut buffer = budget.buffer();
    buffer.reserve(1_000).expect("there is room");
    buffer.push(&[7; 1_000]).expect("it is reserved");
    let bytes = buffer.freeze();
    let clone = bytes.clone();
    drop(bytes);
    assert_eq!((budget.used(), clone.len()), (1_000, 1_000));
    drop(clone);
    assert_eq!(budget.used(), 0);
}

#[test]
fn many_small_pieces_cost_little_more_than_their_bytes() {
    let budget = ByteBudget::new(LIMIT);
    let mut buffer = budget.buffer();
    for _ in 0..250_000 {
        buffer.push(b"body").expect("there is room");
    }
    assert!(
        budget.used() <= 2 * 1_000_000 + MIN_GROWTH,
        "{}",
        budget.used()
    );
}

#[test]
fn what_is_taken_out_counts_no_longer() {
    let budget = ByteBudget::new(LIMIT);
    let mut buffer = budget.buffer();
    buffer.push(&[1; 10_000]).expect("there is room");
    assert_eq!(buffer.take(9_990).len(), 9_990);
    assert_eq!((buffer.as_slice().len(), budget.used()), (10, 10));
    buffer.clear();
    assert!(buffer.is_empty() && budget.used() == 0);
}

#[test]
fn a_size_that_is_no_size_has_no_room() {
    let mut buffer = ByteBudget::default().buffer();
    assert_eq!(buffer.reserve(usize::MAX), Err(NoRoom));
}
