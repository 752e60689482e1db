//! Costs of idempotency keys: records in the log and claims in memory.

use std::net::SocketAddr;

use super::measure::{heap_growth, report, step_ns};
use crate::bench::report::Report;
use crate::claim::{Claim, ClaimId, ClaimOutcome, ClaimReport, Claims, Digest, Record};
use crate::ids::BootId;

/// Measures the cost of claims at several table sizes.
pub fn reports(seed: u64) -> Vec<Report> {
    [1_000, 16_000, 128_000].map(|n| table(seed, n)).to_vec()
}

/// Applies a claim and its report for each key.
fn table(seed: u64, keys: usize) -> Report {
    let claims: Vec<Claim> = (0..keys).map(claim).collect();
    let mut table = Claims::new();
    let mut apply_ns = 0.0;
    let (_, bytes) = heap_growth(|| {
        apply_ns = step_ns(keys, |at| {
            let (claim, offset) = (&claims[at], 2 * at as u64);
            table.apply(offset, &Record::Claim(claim.clone()));
            table.apply(offset + 1, &Record::Report(outcome(claim)));
        });
    });
    let claimed = Record::Claim(claims[0].clone());
    let reported = Record::Report(outcome(&claims[0]));
    report(seed, "log", "claims: keyed request", keys)
        .figure("bytes_each", bytes / keys as f64)
        .figure("claim_record_bytes", encoded(&claimed))
        .figure("report_record_bytes", encoded(&reported))
        .figure("apply_both_ns", apply_ns)
}

fn claim(at: usize) -> Claim {
    let name = format!("order-{at}");
    Claim {
        id: ClaimId(u128::MAX / 3 + at as u128),
        account: "account-01234".to_owned(),
        key: Digest::of_key("account-01234", name.as_bytes()),
        request: Digest::of(&[name.as_bytes()]),
        entry: SocketAddr::from(([10, 0, 1, 1], 8_080)),
        boot: BootId(u64::MAX / 3),
    }
}

fn outcome(claim: &Claim) -> ClaimReport {
    ClaimReport {
        id: claim.id,
        key: claim.key,
        boot: claim.boot,
        outcome: ClaimOutcome::Done { status: 200 },
    }
}

fn encoded(record: &Record) -> f64 {
    record.encode().expect("the record fits").len() as f64
}
