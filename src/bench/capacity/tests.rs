use super::slope::held;
use super::{claims, frames, heap};

#[test]
fn what_is_held_is_counted() {
    heap::enable();
    let ((), bytes) = held(|| {
        heap::record_alloc(300);
        heap::record_dealloc(100);
    });
    assert_eq!(bytes, 200.0);
}

#[test]
fn a_longer_chunk_costs_fewer_bytes_a_token() {
    let lines = frames::lines(1);
    let chunks: Vec<f64> = lines
        .iter()
        .filter(|l| l.get("encode_ns_per_token").is_some())
        .filter_map(|l| l.get("bytes_each"))
        .collect();
    assert!(chunks.len() >= 3 && chunks.is_sorted_by(|a, b| a > b));
}

#[test]
fn every_claim_has_the_records_of_its_key() {
    let lines = claims::lines(1);
    assert!(
        lines
            .iter()
            .all(|l| l.get("claim_record_bytes") > Some(0.0))
    );
}
