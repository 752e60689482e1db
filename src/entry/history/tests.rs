use super::*;

fn record(number: u128) -> RequestRecord {
    RequestRecord {
        id: RequestId(number),
        account: AccountKey(0),
        service: ServiceKey(0),
        idempotent: true,
        arrived: Micros::ZERO,
        steps: Vec::new(),
    }
}

fn filled(count: usize) -> RequestHistory {
    let history = RequestHistory::new(Clock::start());
    (0..count as u128).for_each(|n| history.lock().push(record(n)));
    history
}

#[test]
fn a_step_takes_no_more_memory_than_stated() {
    assert!(size_of::<(Micros, Step)>() <= STEP_BYTES);
}

macro_rules! remembered {
    ($($name:ident: $count:expr, $id:expr => $known:expr;)+) => {$(
        #[tokio::test]
        async fn $name() {
            let history = filled($count);
            assert_eq!(history.find(RequestId($id)).is_some(), $known);
            assert!(history.lock().by_id.len() <= MAX_REQUESTS);
            assert!(history.lock().records.len() <= MAX_REQUESTS);
        }
    )+};
}

remembered! {
    the_first_of_a_full_ring: MAX_REQUESTS, 0 => true;
    the_first_of_one_more: MAX_REQUESTS + 1, 0 => false;
    the_second_of_one_more: MAX_REQUESTS + 1, 1 => true;
    the_last_of_many: 3 * MAX_REQUESTS, 3 * MAX_REQUESTS as u128 - 1 => true;
    one_that_never_came: 3, 9 => false;
}

#[tokio::test]
async fn steps_are_bounded_and_the_last_is_kept() {
    let history = filled(1);
    for next in 0..100 {
        history.record(RequestId(0), Step::ResumeRequested { next });
    }
    history.record(RequestId(0), Step::Ended(Outcome::Whole));
    let steps = history.find(RequestId(0)).expect("it is remembered").steps;
    assert_eq!(steps.len(), MAX_STEPS);
    assert_eq!(steps[0].1, Step::ResumeRequested { next: 0 });
    assert_eq!(steps[MAX_STEPS - 1].1, Step::Ended(Outcome::Whole));
}
