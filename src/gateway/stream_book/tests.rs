mod load;

use super::{BegunStream, HOLDERS, MAX_STREAMS, STREAM_TTL, StreamBook, StreamTag, holders};
use crate::gateway::service_demand::ServiceTag;
use crate::gateway::versions::VersionTag;
use crate::units::Micros;

const SERVICE: ServiceTag = ServiceTag(1);
const OTHER: ServiceTag = ServiceTag(2);

fn begun(stream: u64, version: u32) -> BegunStream {
    BegunStream {
        stream: StreamTag(stream),
        version: VersionTag(version),
    }
}

fn at(ms: u64) -> Micros {
    Micros::from_ms(100_000 + ms)
}

#[test]
fn the_version_that_began_a_stream_stays() {
    let mut book = StreamBook::default();
    book.begin(at(0), begun(7, 1), SERVICE);
    book.learn(at(1), begun(7, 2));
    assert_eq!(book.version(StreamTag(7)), Some(VersionTag(1)));
    assert_eq!(book.version(StreamTag(8)), None);
}

#[test]
fn only_own_streams_of_mixed_services_are_told_and_once() {
    let mut book = StreamBook::default();
    book.begin(at(0), begun(1, 1), SERVICE);
    book.begin(at(0), begun(2, 1), OTHER);
    book.learn(at(0), begun(3, 1));
    let is_mixed = |service| service == SERVICE;
    assert_eq!(book.take_untold(is_mixed), [begun(1, 1)]);
    assert_eq!(book.take_untold(is_mixed), []);
    // A rollout of the other service begins while its stream goes on.
    assert_eq!(book.take_untold(|_| true), [begun(2, 1)]);
}

#[test]
fn streams_are_forgotten_after_a_while() {
    let mut book = StreamBook::default();
    book.begin(at(0), begun(1, 1), SERVICE);
    book.begin(at(1_000), begun(2, 1), SERVICE);
    book.expire(at(0) + STREAM_TTL);
    assert_eq!(book.version(StreamTag(1)), None);
    assert_eq!(book.version(StreamTag(2)), Some(VersionTag(1)));
    assert_eq!(book.take_untold(|_| true), [begun(2, 1)]);
}

#[test]
fn a_bounded_number_of_streams_is_remembered() {
    let mut book = StreamBook::default();
    let count = MAX_STREAMS as u64 + 5;
    (0..count).for_each(|stream| book.learn(at(0), begun(stream, 1)));
    let known = (0..count).filter(|&stream| book.version(StreamTag(stream)).is_some());
    assert_eq!(known.count(), MAX_STREAMS);
    assert!(book.version(StreamTag(count - 1)).is_some());
}

/// Guards against gateways that ask others than those that were told.
#[test]
fn gateways_that_know_each_other_in_any_order_choose_the_same() {
    let gateways: Vec<_> = (1..=30)
        .map(|host| ([10, 0, 0, host], 7_400).into())
        .collect();
    for stream in (0..200).map(StreamTag) {
        let one = holders(stream, gateways.iter().copied(), HOLDERS);
        let other = holders(stream, gateways.iter().rev().copied(), HOLDERS);
        assert_eq!(one.len(), HOLDERS);
        assert_eq!(one, other);
    }
}
