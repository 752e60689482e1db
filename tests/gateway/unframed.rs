//! Answers with neither a length nor chunks, which end with their connection, and answers without a
//! body.

use crate::harness::TestGateway;
use crate::target::{Behaviour, Target};

/// A stream of the first target while another one could resume it: the events that the client gets,
/// whether it looks complete, and the number of requests to both.
macro_rules! streams {
    ($($name:ident: $behaviour:expr, $path:expr => $events:expr, $complete:expr, $sent:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let first = Target::start(&[$behaviour]).await;
            let other = Target::start(&[Behaviour::UnframedEventsResumed]).await;
            let gateway = TestGateway::start_with_targets(&[&first, &other]).await;
            let reply = gateway.call("POST", $path).await;
            assert_eq!((reply.events(), reply.complete), (Vec::<u32>::from($events), $complete), "{reply:?}");
            assert_eq!(first.count() + other.count(), $sent);
        }
    )*};
}

streams! {
    a_whole_stream: Behaviour::UnframedEvents, "/stream/1" => [1, 2, 3], true, 1;
    a_whole_stream_that_may_be_resumed_is_not: Behaviour::UnframedEvents, "/resumed/1" => [1, 2, 3], true, 1;
    a_stream_that_ends_before_any_event_was_broken_off: Behaviour::UnframedNoEvents, "/stream/1" => [], false, 1;
    a_stream_that_ends_before_any_event_is_resumed: Behaviour::UnframedNoEvents, "/resumed/1" => [2, 3], true, 2;
    a_stream_whose_framing_says_that_it_has_no_events_is_whole: Behaviour::NoEvents, "/resumed/1" => [], true, 1;
    a_stream_that_ends_inside_an_event_was_broken_off: Behaviour::UnframedEventsCut, "/stream/1" => [1], false, 1;
    a_stream_that_ends_inside_an_event_is_resumed: Behaviour::UnframedEventsCut, "/resumed/1" => [1, 2, 3], true, 2;
    a_stream_that_is_reset_after_an_event_was_broken_off: Behaviour::UnframedEventsReset, "/stream/1" => [1], false, 1;
    a_stream_that_is_reset_after_an_event_is_resumed: Behaviour::UnframedEventsReset, "/resumed/1" => [1, 2, 3], true, 2;
}

/// A call that is answered twice in a row by the same target.
macro_rules! calls {
    ($($name:ident: $method:expr, $path:expr, $behaviour:expr => $status:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let target = Target::start(&[$behaviour, Behaviour::Complete]).await;
            let gateway = TestGateway::start_with_targets(&[&target]).await;
            let reply = gateway.call($method, $path).await;
            assert_eq!(reply.status, $status, "{reply:?}");
            let next = gateway.call("POST", "/order/2").await;
            assert_eq!((next.status, next.complete), (200, true), "{next:?}");
            assert_eq!(target.count(), 2);
        }
    )*};
}

calls! {
    a_call_that_may_run_once: "POST", "/order/1", Behaviour::CloseDelimited => 200;
    a_call_that_may_be_repeated: "POST", "/read/1", Behaviour::CloseDelimited => 200;
    a_call_whose_answer_is_reset_has_an_unknown_outcome: "POST", "/order/1", Behaviour::CloseDelimitedReset => 502;
    an_answer_without_content_ends_with_its_head: "POST", "/order/1", Behaviour::NoContent => 204;
    the_answer_to_a_head_request_has_no_body: "HEAD", "/read/1", Behaviour::HeadOnly => 200;
}
