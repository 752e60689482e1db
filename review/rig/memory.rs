//! More users than usual, whose requests have bodies of the size that the configuration allows. The
//! platform ends a process that uses more memory than its machine's limit, and starts it again.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, finish, Fleet, Plan, Record};
use crate::http;

const HOST: &str = "ficu95.example";
const KEY: &str = "asnmgkcuyj8pjbvk9m68";
const GATEWAYS: usize = 2;
const WORKERS: usize = 4;
const SLOTS: usize = 96;
/// `maxBodyBytes` of the sheet.
const BODY: usize = 4_194_304;
/// `memoryMb` of a front machine.
const MEMORY_MB: u64 = 260;
/// Requests a second at each gateway, usually and in a burst: `burst` with x 1.7.
const USUAL: f64 = 14.0;
const BURST: f64 = USUAL * 1.7;
/// Length of a burst and time between two.
const BURST_TIME: f64 = 3.0;
const BURST_EVERY: f64 = 14.0;
const BURSTS: usize = 4;
/// Time until an ended process is started again.
const RESTART: Duration = Duration::from_millis(700);
/// Ends without a disturbance of the machine from which on the rule is broken.
const ENDS: usize = 3;

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-digest\",\"authority\":\"{HOST}\",\"pathPrefix\":\"/lohu930/\",\
         \"routeClass\":\"streaming\",\"timeoutMs\":8000,\"targetLatencyMs\":400,\"priority\":1,\
         \"backend\":\"huvo11a\",\"maxAttempts\":1,\"anonymousAccess\":false,\"sessionAffinity\":true,\
         \"streamResume\":false,\"gapAimMs\":300}}],\
         \"services\":[{{\"name\":\"huvo11a\",\"healthPath\":\"/health\",\"maxConnections\":490,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{{\"slots\":{SLOTS},\"kvCapacity\":1389944,\"kvBytes\":18432,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"headerBytes\":16384,\"maxBodyBytes\":{BODY},\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\
         \"tokensPerS\":1600000}},\"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// Memory in use, in MB.
fn memory(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    kb.unwrap_or(0) / 1_024
}

pub fn main(trouble: bool) -> i32 {
    fleet::limit(Duration::from_secs(112));
    let plan = Plan {
        gateways: GATEWAYS,
        config: config(),
    };
    let mut fleet = match Fleet::start(&plan) {
        Ok(fleet) => fleet,
        Err(error) => return finish(&Record::new(), Err(error)),
    };
    let verdict = play(&mut fleet, trouble);
    fleet.end();
    finish(&fleet.record, verdict)
}

fn play(fleet: &mut Fleet, trouble: bool) -> Result<bool, String> {
    for worker in 0..WORKERS {
        let zone = format!("zone-{}", (b'a' + (worker % GATEWAYS) as u8) as char);
        fleet.add_worker("huvo11a", SLOTS, &zone, &[], Duration::from_secs(3));
    }
    fleet.await_ready(Duration::from_secs(15))?;
    thread::sleep(Duration::from_secs(1));
    let stop = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(1));
    let end = BURST_EVERY * BURSTS as f64;
    let mut clients = Vec::new();
    for gateway in &fleet.gateways {
        let (front, name) = (gateway.front, gateway.name.clone());
        let (record, next) = (fleet.record.clone(), next.clone());
        clients.push(thread::spawn(move || {
            let start = Instant::now();
            let mut calls = Vec::new();
            let mut due = 0.0;
            while due < end {
                let now = start.elapsed().as_secs_f64();
                if now < due {
                    thread::sleep(Duration::from_secs_f64(due - now));
                }
                // The burst is the last part of each period.
                let burst = trouble && due % BURST_EVERY >= BURST_EVERY - BURST_TIME;
                due += 1.0 / if burst { BURST } else { USUAL };
                let number = next.fetch_add(1, Ordering::SeqCst);
                let (record, name) = (record.clone(), name.clone());
                calls.push(thread::spawn(move || call(&record, &name, front, number)));
            }
            for call in calls {
                let _ = call.join();
            }
        }));
    }
    let watched = stop.clone();
    let (done, finished) = mpsc::channel();
    thread::spawn(move || {
        for client in clients {
            let _ = client.join();
        }
        watched.store(true, Ordering::SeqCst);
        let _ = done.send(());
    });
    let mut ends = vec![0usize; GATEWAYS];
    let mut most = 0;
    while !stop.load(Ordering::SeqCst) {
        for index in 0..GATEWAYS {
            let Some(process) = &fleet.gateways[index].process else {
                continue;
            };
            let used = memory(process.0.id());
            most = most.max(used);
            if used > MEMORY_MB {
                let name = fleet.gateways[index].name.clone();
                fleet
                    .record
                    .add(format!("{name} uses {used} MB: ended by the platform"));
                fleet.gateways[index].process = None;
                ends[index] += 1;
                thread::sleep(RESTART);
                fleet.start_gateway(index)?;
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    let _ = finished.recv();
    let lines = fleet.record.lines();
    let count = |text: &str| lines.iter().filter(|(_, line)| line.contains(text)).count();
    let (served, broken) = (
        count("answered 200 complete=true"),
        count("no answer") + count("complete=false"),
    );
    fleet.record.add(format!(
        "summary: ends by memory at each gateway: {ends:?} (from {ENDS} on at two machines the rule is broken); most memory seen: {most} MB of {MEMORY_MB}; requests served: {served}; without a whole answer: {broken}"
    ));
    if served < 200 {
        return Err(format!("too little was served: {served}"));
    }
    Ok(ends.iter().all(|&count| count >= ENDS))
}

fn call(record: &Record, gateway: &str, front: std::net::SocketAddr, number: u64) {
    let id = format!("{number:016x}");
    let headers = [
        ("Host", HOST.to_owned()),
        ("Attempt-Id", id.clone()),
        ("Model", "m".to_owned()),
        ("Token-Count", "460,120".to_owned()),
        (
            "Prompt-Prefix",
            format!(
                "{:x}:210,{:x}:250",
                0x5c1e_0000 + number % 40,
                0x9000_0000 + number
            ),
        ),
        ("Deadline-Remaining", "8000".to_owned()),
        ("Authorization", format!("Bearer {KEY}")),
        ("Connection", "close".to_owned()),
    ];
    let mut body = b"events=34;gap=88;".to_vec();
    body.resize(BODY, b'x');
    let bytes = http::request_text("POST", "/lohu930/stream/d", &headers, &body);
    record.add(format!("client of {gateway}: {id} sent"));
    let answer = http::call(front, &bytes, Duration::from_secs(10));
    let text = match answer {
        Ok(answer) => format!("answered {} complete={}", answer.status, answer.complete),
        Err(error) => format!("no answer: {error}"),
    };
    record.add(format!("client of {gateway}: {id} {text}"));
}
