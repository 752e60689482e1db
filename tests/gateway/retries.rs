//! Which requests are retried at a second target.

use crate::harness::TestGateway;
use crate::target::{Behaviour, Target};

macro_rules! retries {
    ($($name:ident: $behaviour:expr, $path:expr => $status:expr, $sent:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let bad = Target::start(&[$behaviour]).await;
            let good = Target::start(&[Behaviour::Complete]).await;
            let gateway = TestGateway::start_with_targets(&[&bad, &good]).await;
            let reply = gateway.call("POST", $path).await;
            assert_eq!(bad.count(), 1);
            let sent = bad.count() + good.count();
            assert_eq!((reply.status, sent), ($status, $sent), "{reply:?}");
        }
    )*};
}

retries! {
    a_once_request_with_a_lost_answer_is_not_retried: Behaviour::Reset, "/order/1" => 502, 1;
    a_once_request_with_a_truncated_answer_is_not_retried: Behaviour::Truncated, "/order/1" => 502, 1;
    a_once_request_that_failed_is_not_retried: Behaviour::Failed, "/order/1" => 500, 1;
    a_once_request_that_was_declined_is_retried: Behaviour::Declined, "/order/1" => 200, 2;
    a_once_request_at_a_moved_target_is_retried: Behaviour::Moved, "/order/1" => 200, 2;
    a_once_request_that_may_have_run_is_not_retried: Behaviour::PlainUnavailable, "/order/1" => 502, 1;
    an_idempotent_request_with_a_lost_answer_is_retried: Behaviour::Reset, "/read/1" => 200, 2;
    an_idempotent_request_that_failed_is_retried: Behaviour::Failed, "/read/1" => 200, 2;
    an_idempotent_request_that_times_out_is_retried: Behaviour::Hang, "/read/1" => 200, 2;
    a_once_request_that_times_out_is_not_retried: Behaviour::Hang, "/order/1" => 504, 1;
    an_idempotent_request_with_the_answer_of_another_is_retried: Behaviour::OtherRequest, "/read/1" => 200, 2;
}

#[tokio::test]
async fn an_unreachable_target_fails_no_request() {
    let (dead, good) = (
        Target::unreachable().await,
        Target::start(&[Behaviour::Complete]).await,
    );
    let gateway = TestGateway::start_with_targets(&[&dead, &good]).await;
    for _ in 0..20 {
        let reply = gateway.call("POST", "/order/1").await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    assert_eq!(good.count(), 20);
}

#[tokio::test]
async fn a_request_that_crashes_targets_is_refused_after_three_crashes() {
    let mut targets = Vec::new();
    for _ in 0..7 {
        targets.push(Target::start(&[Behaviour::CrashOnPoison]).await);
    }
    let gateway = TestGateway::start_with_targets(&targets.iter().collect::<Vec<_>>()).await;
    let mut statuses = Vec::new();
    for round in 0..4 {
        statuses.push(gateway.call("GET", "/read/poison").await.status);
        for harmless in 0..30 {
            let reply = gateway
                .call("GET", &format!("/read/{round}-{harmless}"))
                .await;
            assert_eq!(reply.status, 200, "{reply:?}");
        }
    }
    // The route allows two targets per request, so the second request causes the third crash and
    // a fourth.
    assert_eq!(statuses, [502, 502, 503, 503]);
    assert_eq!(targets.iter().filter(|target| target.is_down()).count(), 4);
}
