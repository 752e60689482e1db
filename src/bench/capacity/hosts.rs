//! Cost of the host list: its size and the time to parse it.

use std::hint::black_box;
use std::net::SocketAddr;

use super::measure::{heap_growth, min_step_ns, report};
use crate::bench::report::Report;
use crate::log::Host;
use crate::log::wire::WireHost;

/// Parses per run of a time measurement.
const STEPS: usize = 5;

/// Measures the host list at several sizes.
pub fn reports(seed: u64) -> Vec<Report> {
    [26, 260, 2_600].map(|n| host_list(seed, n)).to_vec()
}

fn host_list(seed: u64, hosts: usize) -> Report {
    let wire: Vec<WireHost> = (0..hosts).map(host).collect();
    let text = serde_json::to_vec(&wire).expect("hosts are JSON");
    let (_, bytes) = heap_growth(|| read(&text));
    let read_ns = min_step_ns(STEPS, |_| drop(black_box(read(black_box(&text)))));
    report(seed, "hosts", "host list: host", hosts)
        .figure("json_bytes_each", text.len() as f64 / hosts as f64)
        .figure("bytes_each", bytes / hosts as f64)
        .figure("read_ns_each", read_ns / hosts as f64)
}

fn read(text: &[u8]) -> Vec<Host> {
    let wire: Vec<WireHost> = serde_json::from_slice(text).expect("the list is JSON");
    let hosts = wire.into_iter().map(Host::try_from);
    hosts
        .collect::<Result<_, _>>()
        .expect("every host is well formed")
}

fn host(at: usize) -> WireHost {
    let address = SocketAddr::from(([10, 1, (at / 200) as u8, (at % 200) as u8], 7_100));
    WireHost {
        host: address.to_string(),
        zone: format!("region-{}-zone-{}", at % 2, at % 5),
        service: format!("service-{:03}", at % 17),
        state: "live".to_owned(),
    }
}
