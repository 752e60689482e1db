//! Streams without a length or chunks, while workers crash. Some have not made their first event yet.

use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::fleet::{self, finish, Fleet, Plan, Record};
use crate::http;

const HOST: &str = "ficu95.example";
const KEY: &str = "asnmgkcuyj8pjbvk9m68";
const GATEWAYS: usize = 2;
const WORKERS: usize = 6;
const SLOTS: usize = 96;
const STREAMS: usize = 30;
/// Events of each stream.
const EVENTS: usize = 10;
/// Crashes, one worker each time, and the time between two; a worker is down for 4.5 s.
const CRASHES: usize = 4;
const PAUSE: Duration = Duration::from_millis(6_000);
const DOWN: Duration = Duration::from_millis(4_500);

fn config() -> String {
    let route = |name: &str, prefix: &str, attempts: u32, resume: bool| {
        format!(
            "{{\"name\":\"{name}\",\"authority\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\
             \"routeClass\":\"streaming\",\"timeoutMs\":8000,\"targetLatencyMs\":400,\"priority\":1,\
             \"backend\":\"huvo11a\",\"maxAttempts\":{attempts},\"anonymousAccess\":false,\
             \"sessionAffinity\":true,\"streamResume\":{resume},\"gapAimMs\":300}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\
         \"services\":[{{\"name\":\"huvo11a\",\"healthPath\":\"/health\",\"maxConnections\":490,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{{\"slots\":{SLOTS},\"kvCapacity\":1389944,\"kvBytes\":18432,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"headerBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\
         \"tokensPerS\":1600000}},\"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        route("r-digest", "/lohu930/", 1, false),
        route("r-inspect", "/pufi791/", 2, true),
    )
}

pub fn main(trouble: bool) -> i32 {
    fleet::limit(Duration::from_secs(100));
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
    let workers: Vec<_> = (0..WORKERS)
        .map(|worker| {
            let zone = format!("zone-{}", (b'a' + (worker % GATEWAYS) as u8) as char);
            fleet.add_worker("huvo11a", SLOTS, &zone, &["--unframed"], DOWN)
        })
        .collect();
    fleet.await_ready(Duration::from_secs(15))?;
    thread::sleep(Duration::from_secs(1));
    let stop = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(1));
    let clients: Vec<_> = (0..GATEWAYS * STREAMS)
        .map(|client| {
            let front = fleet.gateways[client % GATEWAYS].front;
            let (record, stop, next) = (fleet.record.clone(), stop.clone(), next.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(client as u64 * 31));
                while !stop.load(Ordering::SeqCst) {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    call(&record, front, number);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    for crash in 0..CRASHES {
        if trouble {
            fleet.record.add(format!("kill worker {crash}"));
            workers[crash].kill();
        }
        thread::sleep(PAUSE);
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    judge(&fleet.record)
}

fn call(record: &Record, front: std::net::SocketAddr, number: u64) {
    let id = format!("{number:016x}");
    let path = if number % 2 == 0 {
        "/lohu930/stream/d"
    } else {
        "/pufi791/stream/r"
    };
    let headers = [
        ("Host", HOST.to_owned()),
        ("Attempt-Id", id.clone()),
        ("Model", "m".to_owned()),
        ("Token-Count", "460,50".to_owned()),
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
    let body = format!("events={EVENTS};gap=100;first=250;question {number}");
    let bytes = http::request_text("POST", path, &headers, body.as_bytes());
    record.add(format!("client: {id} sent {path}"));
    let answer = http::call(front, &bytes, Duration::from_secs(10));
    let text = match answer {
        Ok(answer) => {
            let events = String::from_utf8_lossy(&answer.body)
                .matches("id: ")
                .count();
            format!(
                "{} complete={} events={events}",
                answer.status, answer.complete
            )
        }
        Err(error) => format!("no answer: {error}"),
    };
    record.add(format!("client: {id} answered {text}"));
    if !text.starts_with("200") {
        thread::sleep(Duration::from_millis(200));
    }
}

/// The rule as written: a stream ends as complete before its last piece. Counted are only streams
/// of which the client got no event at all, and whose worker never came to their end.
fn judge(record: &Record) -> Result<bool, String> {
    let lines = record.lines();
    let ended: HashSet<&str> = lines
        .iter()
        .filter_map(|(_, line)| line.split_once(" end ").map(|(_, id)| id))
        .collect();
    let (mut whole, mut empty, mut part, mut broken) = (0, 0, 0, 0);
    let mut resumable = 0;
    for (_, line) in &lines {
        let Some((id, answer)) = line
            .strip_prefix("client: ")
            .and_then(|rest| rest.split_once(" answered "))
        else {
            continue;
        };
        if answer == format!("200 complete=true events={EVENTS}") {
            whole += 1;
        } else if answer == "200 complete=true events=0" && !ended.contains(id) {
            empty += 1;
            let number = u64::from_str_radix(id, 16).unwrap_or(0);
            resumable += usize::from(number % 2 == 1);
        } else if answer.starts_with("200 complete=true") {
            part += 1;
        } else {
            broken += 1;
        }
    }
    record.add(format!(
        "summary: streams whole: {whole}; complete without any event, their worker crashed before the first: {empty} (of these {resumable} may be resumed); complete with some of their events (not counted): {part}; broken off or failed: {broken}"
    ));
    if whole < 100 {
        return Err(format!("too little was served: {whole}"));
    }
    Ok(empty > 0)
}
