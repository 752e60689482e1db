use super::StreamQuestions;
use crate::gateway::peers::wire_streams::StreamQuestion;
use crate::gateway::service_demand::ServiceTag;
use crate::gateway::stream_book::StreamTag;
use crate::units::Micros;

const STREAM: StreamTag = StreamTag(7);

fn question() -> StreamQuestion {
    StreamQuestion {
        stream: STREAM,
        service: ServiceTag(1),
        span: Micros::from_secs(9),
    }
}

#[test]
fn a_question_is_open_until_all_have_answered() {
    let gateways = [([10, 0, 0, 1], 1).into(), ([10, 0, 0, 2], 1).into()];
    let mut questions = StreamQuestions::default();
    questions.ask(question(), &gateways);
    let outbox = questions.take_outbox();
    assert_eq!(outbox.len(), 2);
    assert_eq!(outbox[&gateways[0]], [question()]);
    assert!(questions.take_outbox().is_empty());
    questions.record_unknown(STREAM);
    assert!(questions.is_open(STREAM));
    questions.record_unknown(STREAM);
    assert!(!questions.is_open(STREAM));
}

#[test]
fn an_answer_that_nobody_waits_for_is_ignored() {
    let mut questions = StreamQuestions::default();
    questions.ask(question(), &[([10, 0, 0, 1], 1).into()]);
    questions.close(STREAM);
    questions.record_unknown(STREAM);
    assert!(!questions.is_open(STREAM));
}
