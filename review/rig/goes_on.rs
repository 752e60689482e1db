//! Streams that may be resumed, while one worker is slow. Workers don't drop a request when its
//! connection closes.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::fleet::{self, finish, Fleet, Plan, Record};
use crate::http;

const HOST: &str = "ficu95.example";
const KEY: &str = "asnmgkcuyj8pjbvk9m68";
const GATEWAYS: usize = 2;
const WORKERS: usize = 7;
const SLOTS: usize = 96;
const STREAMS: usize = 28;
/// Usual pause between events, within the route's `gapAimMs` of 300.
const GAP_MS: u64 = 180;
/// How slow one worker is, and how long: `srv_slow` share 0.16 (one of seven), x 5, for 6.5 s.
const SLOW: &str = "slow 5";
const SLOW_TIME: Duration = Duration::from_millis(6_500);
/// Time after which the worker before has to have stopped, in seconds.
const STOPPED: f64 = 0.4;

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-inspect\",\"authority\":\"{HOST}\",\"pathPrefix\":\"/pufi791/\",\
         \"routeClass\":\"streaming\",\"timeoutMs\":8000,\"targetLatencyMs\":400,\"priority\":1,\
         \"backend\":\"huvo11a\",\"maxAttempts\":2,\"anonymousAccess\":false,\"sessionAffinity\":true,\
         \"streamResume\":true,\"gapAimMs\":300}}],\
         \"services\":[{{\"name\":\"huvo11a\",\"healthPath\":\"/health\",\"maxConnections\":490,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{{\"slots\":{SLOTS},\"kvCapacity\":1389944,\"kvBytes\":18432,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"headerBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\
         \"tokensPerS\":1600000}},\"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

pub fn main(trouble: bool) -> i32 {
    fleet::limit(Duration::from_secs(60));
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
            fleet.add_worker("huvo11a", SLOTS, &zone, &["--keep"], Duration::from_secs(3))
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
                thread::sleep(Duration::from_millis(client as u64 * 60));
                while !stop.load(Ordering::SeqCst) {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    let id = format!("{number:016x}");
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
                    let body = format!("events=10;gap={GAP_MS};report {number}");
                    let bytes =
                        http::request_text("POST", "/pufi791/stream/r", &headers, body.as_bytes());
                    record.add(format!("client: {id} sent"));
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
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(6));
    if trouble {
        workers[0].send(SLOW);
    }
    thread::sleep(SLOW_TIME);
    workers[0].send("slow 1");
    thread::sleep(Duration::from_secs(6));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(2));
    judge(&fleet.record)
}

/// The rule as written: a request goes on at another worker, and the worker before still works on
/// it 0.4 s later.
fn judge(record: &Record) -> Result<bool, String> {
    let lines = record.lines();
    let served = lines
        .iter()
        .filter(|(_, line)| line.contains("answered 200 complete=true events=10"))
        .count();
    // For each request, its runs in order: worker, start, time of its last event.
    let mut runs: HashMap<&str, Vec<(&str, f64, f64)>> = HashMap::new();
    for (at, line) in &lines {
        let mut words = line.split(' ');
        let (Some(worker), Some(what), Some(id)) = (words.next(), words.next(), words.next())
        else {
            continue;
        };
        let of_request = runs.entry(id).or_default();
        match what {
            "run" => of_request.push((worker, *at, *at)),
            "event" => {
                if let Some(run) = of_request.iter_mut().find(|(other, ..)| *other == worker) {
                    run.2 = *at;
                }
            }
            _ => {}
        }
    }
    let (mut moved, mut both) = (0, 0);
    for (id, of_request) in &runs {
        for pair in of_request.windows(2) {
            let (before, after) = (pair[0], pair[1]);
            moved += 1;
            if before.2 > after.1 + STOPPED {
                both += 1;
                record.add(format!(
                    "{id} goes on at {} at {:.3} s; {} still makes events until {:.3} s",
                    after.0, after.1, before.0, before.2
                ));
            }
        }
    }
    record.add(format!("summary: streams served whole: {served}; gone on at another worker: {moved}; of these, the worker before still at work {STOPPED} s later: {both}"));
    if served < 50 {
        return Err(format!("too little was served: {served}"));
    }
    Ok(both > 0)
}
