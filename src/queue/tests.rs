use super::Queue;
use crate::ids::JobKey;
use crate::units::Micros;

const SHORT: u64 = 100;
const LONG: u64 = 10_000;

/// Keys in the order in which they are taken; the key of a request is its index in `costs`.
fn order(costs: &[u64]) -> Vec<u32> {
    let mut queue = Queue::default();
    for (at, &ms) in costs.iter().enumerate() {
        queue.push(JobKey::from(at), Micros::from_ms(ms));
    }
    std::iter::from_fn(|| queue.pop()).map(|k| k.0).collect()
}

macro_rules! orders {
    ($($name:ident: $costs:expr => $order:expr;)*) => {
        $(#[test] fn $name() { assert_eq!(order(&$costs), $order); })*
    };
}

orders! {
    one_class_is_fifo: [SHORT, SHORT, SHORT] => [0, 1, 2];
    short_overtakes_long: [LONG, LONG, SHORT] => [2, 0, 1];
    long_keeps_its_share: [SHORT, LONG, SHORT, SHORT] => [0, 1, 2, 3];
    empty_queue: [] => [0u32; 0];
}

#[test]
fn a_requeued_request_goes_first_and_can_be_removed() {
    let mut queue = Queue::default();
    queue.push(JobKey(0), Micros::from_ms(SHORT));
    queue.push_front(JobKey(1));
    queue.push_front(JobKey(2));
    assert!(queue.remove(JobKey(2)));
    assert!(!queue.remove(JobKey(2)));
    assert_eq!(queue.len(), 2);
    assert_eq!(queue.pop(), Some(JobKey(1)));
    assert!(queue.remove(JobKey(0)));
    assert!(queue.is_empty());
}
