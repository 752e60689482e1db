//! Two targets: what is sent once more, and what is not.

use crate::target::{Say, Target};
use crate::world::World;

macro_rules! repeats {
    ($($name:ident: $say:expr, $path:expr => $status:expr, $sent:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let bad = Target::start(&[$say]).await;
            let good = Target::start(&[Say::Whole]).await;
            let world = World::before(&[&bad, &good]).await;
            let reply = world.call("POST", $path).await;
            assert_eq!(bad.count(), 1);
            let sent = bad.count() + good.count();
            assert_eq!((reply.status, sent), ($status, $sent), "{reply:?}");
        }
    )*};
}

repeats! {
    an_order_whose_answer_is_lost_is_not_sent_again: Say::Reset, "/order/1" => 502, 1;
    an_order_with_a_truncated_answer_is_not: Say::Truncated, "/order/1" => 502, 1;
    an_order_that_failed_is_not: Say::Failed, "/order/1" => 500, 1;
    an_order_that_was_declined_is: Say::Declined, "/order/1" => 200, 2;
    an_order_at_a_moved_target_is: Say::Moved, "/order/1" => 200, 2;
    an_order_that_may_have_run_is_not: Say::Unsure, "/order/1" => 502, 1;
    a_read_whose_answer_is_lost_is: Say::Reset, "/read/1" => 200, 2;
    a_read_that_failed_is: Say::Failed, "/read/1" => 200, 2;
    a_read_that_finds_silence_is: Say::Hang, "/read/1" => 200, 2;
    an_order_that_finds_silence_is_not: Say::Hang, "/order/1" => 504, 1;
    a_read_with_anothers_answer_is: Say::Crossed, "/read/1" => 200, 2;
}

#[tokio::test]
async fn a_target_that_cannot_be_reached_costs_no_run() {
    let (dead, good) = (Target::dead().await, Target::start(&[Say::Whole]).await);
    let world = World::before(&[&dead, &good]).await;
    for _ in 0..20 {
        let reply = world.call("POST", "/order/1").await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    assert_eq!(good.count(), 20);
}

#[tokio::test]
async fn a_request_that_crashes_its_targets_is_refused_after_the_third() {
    let mut targets = Vec::new();
    for _ in 0..7 {
        targets.push(Target::start(&[Say::Fragile]).await);
    }
    let world = World::before(&targets.iter().collect::<Vec<_>>()).await;
    let mut statuses = Vec::new();
    for round in 0..4 {
        statuses.push(world.call("GET", "/read/poison").await.status);
        for harmless in 0..30 {
            let reply = world
                .call("GET", &format!("/read/{round}-{harmless}"))
                .await;
            assert_eq!(reply.status, 200, "{reply:?}");
        }
    }
    // Each try may reach two targets, as its route allows.
    assert_eq!(statuses, [502, 502, 503, 503]);
    assert_eq!(targets.iter().filter(|target| target.is_down()).count(), 4);
}
