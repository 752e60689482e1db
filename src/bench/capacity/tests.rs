use super::measure::heap_growth;
use super::{claims, frames, heap};

#[test]
fn heap_growth_is_allocations_minus_frees() {
    heap::enable();
    let ((), bytes) = heap_growth(|| {
        heap::record_alloc(300);
        heap::record_dealloc(100);
    });
    assert_eq!(bytes, 200.0);
}

#[test]
fn longer_chunks_need_fewer_bytes_per_token() {
    let reports = frames::reports(1);
    let bytes_per_token: Vec<f64> = reports
        .iter()
        .filter(|r| r.get("encode_ns_per_token").is_some())
        .filter_map(|r| r.get("bytes_each"))
        .collect();
    assert!(bytes_per_token.len() >= 3 && bytes_per_token.is_sorted_by(|a, b| a > b));
}

#[test]
fn every_table_size_reports_the_claim_record_size() {
    let reports = claims::reports(1);
    assert!(
        reports
            .iter()
            .all(|r| r.get("claim_record_bytes") > Some(0.0))
    );
}
