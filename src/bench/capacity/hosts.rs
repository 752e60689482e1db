//! Slope of the host list: bytes and time to read it.

use std::hint::black_box;
use std::net::SocketAddr;

use super::slope::{held, line, nanos};
use crate::bench::report::Report;
use crate::log::Host;
use crate::log::wire::WireHost;

/// Readings in a measurement of time.
const STEPS: usize = 5;

/// The slope of the host list.
pub fn lines(seed: u64) -> Vec<Report> {
    [26, 260, 2_600].map(|n| list(seed, n)).to_vec()
}

fn list(seed: u64, hosts: usize) -> Report {
    let wire: Vec<WireHost> = (0..hosts).map(host).collect();
    let text = serde_json::to_vec(&wire).expect("hosts are JSON");
    let (_, bytes) = held(|| read(&text));
    let time = nanos(STEPS, |_| drop(black_box(read(black_box(&text)))));
    line(seed, "hosts", "host list: host", hosts)
        .figure("json_bytes_each", text.len() as f64 / hosts as f64)
        .figure("bytes_each", bytes / hosts as f64)
        .figure("read_ns_each", time / hosts as f64)
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
