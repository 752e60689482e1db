//! A request that crashes its workers, beside ordinary streams, at five gateways.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::fleet::{self, finish, Fleet, Plan, Record};
use crate::http;

const HOST: &str = "ficu95.example";
const KEY: &str = "asnmgkcuyj8pjbvk9m68";
const GATEWAYS: usize = 5;
const WORKERS: usize = 12;
/// Slots of a worker, as on the sheet.
const SLOTS: usize = 96;
/// Time for which a crashed worker is down.
const DOWN: Duration = Duration::from_millis(2_500);
/// Ordinary streams that each gateway has open: 58 a worker, from all gateways together.
const STREAMS: usize = 140;
/// Ids of shared parts, as many as the sheet's smallest set.
const SHARED: u64 = 40;
/// Time between two rounds, in each of which the client sends the request and repeats it at once, as
/// often as `retry_abuse` says (x 3), each time at another gateway.
const PAUSE: Duration = Duration::from_millis(3_400);
const ROUNDS: usize = 8;
const REPEATS: usize = 3;
/// `contactMs` of the sheet, in seconds.
const CONTACT: f64 = 3.0;
/// Retries that the rule allows.
const ALLOWED: usize = 3;

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-quick\",\"authority\":\"{HOST}\",\"pathPrefix\":\"/lohu930/\",\
         \"routeClass\":\"streaming\",\"timeoutMs\":10000,\"targetLatencyMs\":300,\"priority\":1,\
         \"backend\":\"huvo11a\",\"maxAttempts\":1,\"anonymousAccess\":false,\"sessionAffinity\":true,\
         \"streamResume\":false,\"gapAimMs\":300}}],\
         \"services\":[{{\"name\":\"huvo11a\",\"healthPath\":\"/health\",\"maxConnections\":490,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{{\"slots\":{SLOTS},\"kvCapacity\":1389944,\"kvBytes\":18432,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"headerBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\
         \"tokensPerS\":1600000}},\"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

fn request(path: &str, id: &str, shared: u64, own: u64, body: &str) -> Vec<u8> {
    let headers = [
        ("Host", HOST.to_owned()),
        ("Attempt-Id", id.to_owned()),
        ("Model", "m".to_owned()),
        ("Token-Count", "460,170".to_owned()),
        (
            "Prompt-Prefix",
            format!("{:x}:210,{own:x}:250", 0x5c1e_0000 + shared),
        ),
        ("Deadline-Remaining", "10000".to_owned()),
        ("Authorization", format!("Bearer {KEY}")),
        ("Connection", "close".to_owned()),
    ];
    http::request_text("POST", path, &headers, body.as_bytes())
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
        let options: &[&str] = if trouble { &["--crash"] } else { &[] };
        fleet.add_worker("huvo11a", SLOTS, &zone, options, DOWN);
    }
    fleet.await_ready(Duration::from_secs(15))?;
    let stop = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(1));
    // STREAMS=2 shows that the rule holds where few ordinary streams are open.
    let streams = std::env::var("STREAMS")
        .ok()
        .and_then(|value| value.parse().ok());
    let clients: Vec<_> = (0..GATEWAYS * streams.unwrap_or(STREAMS))
        .map(|client| {
            let gateway = &fleet.gateways[client % GATEWAYS];
            let (front, name) = (gateway.front, gateway.name.clone());
            let (record, stop, next) = (fleet.record.clone(), stop.clone(), next.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(client as u64 * 7));
                while !stop.load(Ordering::SeqCst) {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    let id = format!("{number:016x}");
                    let body = format!("events=34;gap=60;question {number}");
                    let bytes = request(
                        "/lohu930/stream/q",
                        &id,
                        number % SHARED,
                        0x9000_0000 + number,
                        &body,
                    );
                    let answer = http::call(front, &bytes, Duration::from_secs(11));
                    let text = match answer {
                        Ok(answer) => format!("{} complete={}", answer.status, answer.complete),
                        Err(error) => format!("no answer: {error}"),
                    };
                    record.add(format!("client of {name}: {id} {text}"));
                    if !text.starts_with("200 complete=true") {
                        thread::sleep(Duration::from_millis(200));
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(6));
    for round in 0..ROUNDS {
        for attempt in 0..=REPEATS {
            let gateway = &fleet.gateways[(round + attempt) % GATEWAYS];
            // The same path, caller and body each time; each client attempt has its own id.
            let id = format!("ffff{:012x}", round * 16 + attempt);
            let bytes = request(
                "/lohu930/stream/again",
                &id,
                3,
                0x8000_0001,
                "events=3;gap=60;this one CRASHES a worker",
            );
            fleet.record.add(format!("again: {id} to {}", gateway.name));
            let answer = http::call(gateway.front, &bytes, Duration::from_secs(11));
            let text = answer.map_or_else(
                |error| error.to_string(),
                |a| format!("{} {}", a.status, a.complete),
            );
            fleet.record.add(format!("again: {id} answered {text}"));
            if text.starts_with("200") {
                break;
            }
        }
        thread::sleep(PAUSE);
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    judge(&fleet.record)
}

/// The rule as written: after the third crash and `contactMs`, more than three arrivals.
fn judge(record: &Record) -> Result<bool, String> {
    let lines = record.lines();
    let served = lines
        .iter()
        .filter(|(_, line)| line.ends_with("200 complete=true"))
        .count();
    let at = |word: &str| -> Vec<f64> {
        let word = format!(" {word} ffff");
        lines
            .iter()
            .filter(|(_, line)| line.contains(&word))
            .map(|(at, _)| *at)
            .collect()
    };
    let (arrivals, crashes) = (at("run"), at("crash"));
    let broken = lines.iter().filter(|(at, line)| {
        line.ends_with("200 complete=false")
            && crashes.get(2).is_some_and(|third| *at > third + CONTACT)
    });
    let broken = broken.count();
    let late = crashes.get(2).map_or(0, |third| {
        arrivals.iter().filter(|&&at| at > third + CONTACT).count()
    });
    record.add(format!(
        "ordinary streams served: {served}; arrivals of the request: {}; crashes: {}; arrivals later than {CONTACT} s after the third crash: {late} (allowed: {ALLOWED}); ordinary streams that broke off since: {broken}",
        arrivals.len(), crashes.len()
    ));
    if served < 100 || arrivals.is_empty() {
        return Err(format!(
            "too little was served: {served}, {}",
            arrivals.len()
        ));
    }
    Ok(late > ALLOWED)
}
