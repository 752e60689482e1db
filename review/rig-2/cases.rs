//! The cases.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier, Mutex};
use std::thread::JoinHandle;

use crate::client::{Ask, Client, Outcome};
use crate::gateway::Gateway;
use crate::store::Store;
use crate::worker::{Nature, Worker};
use crate::world::{Run, SIGCONT, SIGSTOP, SIGTERM, World, sleep_ms};

const KEY: &str = "asnmgkcuyj8pjbvk9m68";
const PATH: &str = "/pufi791/2f";
/// Time budget of the clients, and timeout of the route.
const BUDGET_MS: u64 = 5_000;
/// How long the worker before may still work on a request that goes on at another one, in seconds.
const GRACE: f64 = 0.4;

/// Plays a case; returns what broke the rule.
pub fn play(case: &str, world: &World, trouble: &str) -> Result<Vec<String>, String> {
    match case {
        "stale" => stale(world, trouble),
        "silence" => silence(world, trouble),
        "reset" => reset(world, trouble),
        "late" => late(world, trouble),
        "refused" => refused(world, trouble),
        "revoke" => revoke(world, trouble),
        _ => Err(format!("there is no case {case}")),
    }
}

/// A configuration with one route for streams that may be resumed, of two attempts.
fn config(version: u64, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-1","authority":"ficu95.example","pathPrefix":"/pufi791/","routeClass":"streaming","timeoutMs":5000,"targetLatencyMs":600,"priority":1,"backend":"huvo11a","maxAttempts":2,"anonymousAccess":false,"sessionAffinity":true,"streamResume":true,"gapAimMs":500}},{{"name":"r-2","authority":"ficu95.example","pathPrefix":"/puxa403/","routeClass":"non_idempotent","timeoutMs":1500,"targetLatencyMs":150,"priority":2,"backend":"wuno96b","maxAttempts":1,"anonymousAccess":false}}],"services":[{{"name":"huvo11a","healthPath":"/health","maxConnections":630,"protocol":"h1","tls":false,"engine":{{"slots":32,"kvCapacity":789097,"kvBytes":18432,"linkMbps":370000.0,"moves":true,"backups":true,"stride":5,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{{"name":"m"}}]}}}},{{"name":"wuno96b","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}}],"limits":{{"headerBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"tokensPerS":1600000}},"tenants":{tenants}}}"#
    )
}

const TENANT: &str = r#"[{"name":"hule930","apiKeys":["asnmgkcuyj8pjbvk9m68"],"priority":1}]"#;

struct Fleet {
    world: World,
    store: Store,
    workers: Vec<Worker>,
    gateway: Gateway,
}

impl Fleet {
    fn start(world: &World, natures: &[Nature]) -> Result<Fleet, String> {
        let store = Store::default();
        store.put_config(config(7, TENANT));
        let workers: Vec<Worker> = natures
            .iter()
            .enumerate()
            .map(|(n, nature)| {
                let id = format!("i-{n}");
                Worker::start(world, &store, "huvo11a", &id, nature.clone())
            })
            .collect();
        let gateway = Gateway::start(world, &store)?;
        Ok(Fleet {
            world: world.clone(),
            store,
            workers,
            gateway,
        })
    }

    /// A client that sends `count` requests one after the other on a kept connection.
    fn client(&self, name: &str, count: usize, outcomes: &Outcomes) -> JoinHandle<()> {
        let mut client = Client::new(&self.world, self.gateway.clients);
        let (name, outcomes) = (name.to_owned(), outcomes.clone());
        std::thread::spawn(move || {
            for number in 0..count {
                let outcome = ask(&mut client, &format!("{name}-{number}"));
                outcomes.lock().unwrap().push(outcome);
            }
        })
    }

    /// Calls a worker from elsewhere, at once, as many times as said.
    fn call_directly(&self, worker: &Worker, count: usize) -> Vec<JoinHandle<()>> {
        let calls = (0..count).map(|n| {
            let mut client = Client::new(&self.world, worker.addr());
            let id = format!("other-{}-{n}", worker.id());
            std::thread::spawn(move || {
                client.call(&Ask {
                    id: &id,
                    path: PATH,
                    key: KEY,
                    budget_ms: 20_000,
                });
            })
        });
        calls.collect()
    }

    /// Requests of the time before, all of which have to be served.
    fn warm_up(&self, clients: usize, each: usize) -> Result<(), String> {
        let outcomes = Outcomes::default();
        let all = (0..clients).map(|n| self.client(&format!("warm-{n}"), each, &outcomes));
        let all: Vec<JoinHandle<()>> = all.collect();
        for client in all {
            client.join().map_err(|_| "a client failed")?;
        }
        let outcomes = outcomes.lock().unwrap();
        match outcomes.iter().all(|o| o.complete && o.status == 200) {
            true => Ok(()),
            false => Err("not all requests were served before the disruption".to_owned()),
        }
    }
}

type Outcomes = Arc<Mutex<Vec<Outcome>>>;

fn join(clients: Vec<JoinHandle<()>>) -> Result<(), String> {
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    Ok(())
}

/// DRAIN: five gateways in three zones, as at the installation `tovolea-tiles`. The one that reads the
/// list of workers for its zone freezes for two seconds, again and again; each time a worker's entry
/// is removed shortly before it wakes. Requests go to the other gateway of that zone, which is never
/// disturbed.
fn stale(world: &World, trouble: &str) -> Result<Vec<String>, String> {
    const CYCLES: usize = 5;
    /// `drainMs`, in seconds.
    const DRAIN: f64 = 2.0;
    let store = Store::default();
    store.put_config(config(7, TENANT));
    let nature = Nature {
        slots: 6,
        first_ms: 20,
        gap_ms: 0,
        events: 0,
        drops: true,
    };
    let worker = |n: usize| {
        let id = format!("i-{n}");
        Worker::start(world, &store, "wuno96b", &id, nature.clone())
    };
    let mut workers: VecDeque<Worker> = (0..3).map(worker).collect();
    let zones = ["a", "a", "b", "c", "c"];
    let gateways = Gateway::start_fleet(world, &store, &zones)?;
    let reads = |n: usize| gateways[n].store.reads.load(Ordering::Relaxed);
    let before = [reads(0), reads(1)];
    sleep_ms(2_000);
    let is_reader = |n: usize| reads(n) - before[n] >= 3;
    let (reader, other) = match (is_reader(0), is_reader(1)) {
        (true, false) => (&gateways[0], &gateways[1]),
        (false, true) => (&gateways[1], &gateways[0]),
        _ => return Err("it is not clear who reads the list".to_owned()),
    };
    world.note(format!(
        "{} reads for its zone, requests go to {}",
        reader.name, other.name
    ));
    let stop = Arc::new(AtomicBool::new(false));
    let clients = (0..3).map(|n| {
        let (mut client, stop) = (Client::new(world, other.clients), stop.clone());
        std::thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                let id = format!("order-{n}-{number}");
                client.call(&Ask {
                    id: &id,
                    path: "/puxa403/2f",
                    key: KEY,
                    budget_ms: 1_500,
                });
                number += 1;
                sleep_ms(100);
            }
        })
    });
    let clients: Vec<JoinHandle<()>> = clients.collect();
    let mut left = Vec::new();
    for cycle in 0..CYCLES {
        workers.push_back(worker(3 + cycle));
        sleep_ms(1_000);
        if trouble == "1" {
            reader.signal(SIGSTOP);
        }
        sleep_ms(1_950);
        if let Some(worker) = workers.pop_front() {
            left.push((worker.leave(), worker));
        }
        sleep_ms(50);
        if trouble == "1" {
            reader.signal(SIGCONT);
        }
        sleep_ms(3_500);
    }
    stop.store(true, Ordering::Relaxed);
    join(clients)?;
    let runs = world.runs();
    let broken = left.iter().filter_map(|(at, worker)| {
        let late = |run: &&Run| run.worker == worker.id() && run.begin > at + DRAIN;
        let late: Vec<&Run> = runs.iter().filter(late).collect();
        let (first, last) = (late.first()?, late.last()?);
        Some(format!(
            "{} requests reached {} later than {DRAIN} s after its entry was removed at {at:.3} s, from {} at {:.3} s to {} at {:.3} s",
            late.len(), worker.id(), first.id, first.begin, last.id, last.begin
        ))
    });
    Ok(broken.collect())
}

/// LOST: during a planned stop of the gateway, workers run out of memory for 2 s. Each preempts its
/// newest stream and goes on with it afterwards; new requests wait, until the queues are full. `TROUBLE=term` has the stop alone, and
/// `TROUBLE=memory` the rest.
fn silence(world: &World, trouble: &str) -> Result<Vec<String>, String> {
    let nature = Nature {
        slots: 32,
        first_ms: 100,
        gap_ms: 100,
        events: 12,
        drops: true,
    };
    let fleet = Fleet::start(world, &vec![nature; 3])?;
    fleet.warm_up(12, 3)?;
    let outcomes = Outcomes::default();
    let (streams, start) = (6, Arc::new(Barrier::new(7)));
    let clients = (0..streams).map(|n| {
        let mut client = Client::new(world, fleet.gateway.clients);
        let (start, outcomes) = (start.clone(), outcomes.clone());
        std::thread::spawn(move || {
            // The first request only opens the connection, which is kept.
            ask(&mut client, &format!("first-{n}"));
            start.wait();
            let outcome = ask(&mut client, &format!("stream-{n}"));
            outcomes.lock().unwrap().push(outcome);
        })
    });
    let clients: Vec<JoinHandle<()>> = clients.collect();
    start.wait();
    sleep_ms(300);
    let mut others = Vec::new();
    if trouble == "1" || trouble == "term" {
        fleet.gateway.signal(SIGTERM);
    }
    sleep_ms(200);
    if trouble == "1" || trouble == "memory" {
        fleet.workers.iter().for_each(|w| w.set_full(true));
        // Others call the workers meanwhile, and their queues fill.
        for worker in &fleet.workers {
            others.extend(fleet.call_directly(worker, 12));
        }
        sleep_ms(2_000);
        fleet.workers.iter().for_each(|w| w.set_full(false));
    }
    join(clients)?;
    join(others)?;
    let outcomes = outcomes.lock().unwrap();
    let broken = outcomes.iter().filter(|o| !o.complete).map(|o| {
        let (id, took, events) = (&o.id, o.took, o.events.len());
        format!("{id}: its connection ended after {took:.3} s, with {events} of 12 events")
    });
    Ok(broken.collect())
}

fn ask(client: &mut Client, id: &str) -> Outcome {
    client.call(&Ask {
        id,
        path: PATH,
        key: KEY,
        budget_ms: BUDGET_MS,
    })
}

/// TWICE: for three and a half seconds two workers of six, which do not drop requests, lose one answer in twenty
/// to a reset, and work on.
fn reset(world: &World, trouble: &str) -> Result<Vec<String>, String> {
    let nature = |drops| Nature {
        slots: 32,
        first_ms: 100,
        gap_ms: 100,
        events: 16,
        drops,
    };
    let natures: Vec<Nature> = (0..6).map(|n| nature(n >= 2)).collect();
    let fleet = Fleet::start(world, &natures)?;
    fleet.warm_up(12, 2)?;
    let outcomes = Outcomes::default();
    let set_resets = |one_in| fleet.workers[..2].iter().for_each(|w| w.set_resets(one_in));
    if trouble == "1" {
        set_resets(20);
    }
    let clients = (0..96).map(|n| fleet.client(&format!("stream-{n}"), 3, &outcomes));
    let clients: Vec<JoinHandle<()>> = clients.collect();
    sleep_ms(3_500);
    set_resets(0);
    join(clients)?;
    sleep_ms(2_000);
    Ok(world.overlaps(GRACE))
}

/// TWICE: one worker of seven, which does not drop requests, is slow for six seconds, and its first
/// events come late.
fn late(world: &World, trouble: &str) -> Result<Vec<String>, String> {
    let nature = |drops| Nature {
        slots: 32,
        first_ms: 350,
        gap_ms: 60,
        events: 12,
        drops,
    };
    let natures: Vec<Nature> = (0..7).map(|n| nature(n > 0)).collect();
    let fleet = Fleet::start(world, &natures)?;
    fleet.warm_up(14, 2)?;
    if trouble == "1" {
        fleet.workers[0].set_slow(5);
    }
    let outcomes = Outcomes::default();
    let clients = (0..21).map(|n| fleet.client(&format!("stream-{n}"), 3, &outcomes));
    let clients: Vec<JoinHandle<()>> = clients.collect();
    sleep_ms(6_000);
    fleet.workers[0].set_slow(1);
    join(clients)?;
    sleep_ms(2_000);
    Ok(world.overlaps(GRACE))
}

/// TWICE: one worker of seven, which does not drop requests, is slow for six seconds and meanwhile
/// resets new connections, as it does while its queue is long.
fn refused(world: &World, trouble: &str) -> Result<Vec<String>, String> {
    let nature = |drops| Nature {
        slots: 32,
        first_ms: 100,
        gap_ms: 350,
        events: 8,
        drops,
    };
    let natures: Vec<Nature> = (0..7).map(|n| nature(n > 0)).collect();
    let fleet = Fleet::start(world, &natures)?;
    fleet.warm_up(14, 1)?;
    let outcomes = Outcomes::default();
    let clients = (0..21).map(|n| fleet.client(&format!("stream-{n}"), 1, &outcomes));
    let clients: Vec<JoinHandle<()>> = clients.collect();
    sleep_ms(400);
    let mut others = Vec::new();
    if trouble == "1" {
        fleet.workers[0].set_slow(5);
        fleet.workers[0].set_refuses(true);
        others = fleet.call_directly(&fleet.workers[0], 40);
    }
    sleep_ms(6_000);
    fleet.workers[0].set_slow(1);
    fleet.workers[0].set_refuses(false);
    join(clients)?;
    join(others)?;
    sleep_ms(2_000);
    Ok(world.overlaps(GRACE))
}

/// ROUTE: the operator takes the only tenant away, and its keys with it.
fn revoke(world: &World, trouble: &str) -> Result<Vec<String>, String> {
    let nature = Nature {
        slots: 32,
        first_ms: 100,
        gap_ms: 20,
        events: 4,
        drops: true,
    };
    let fleet = Fleet::start(world, &vec![nature; 3])?;
    fleet.warm_up(4, 2)?;
    let tenants = if trouble == "1" { "[]" } else { TENANT };
    fleet.store.put_config(config(8, tenants));
    world.note(format!(
        "operator: writes version 8 with the tenants {tenants}"
    ));
    sleep_ms(2_500);
    let mut client = Client::new(world, fleet.gateway.clients);
    for number in 0..5 {
        let id = format!("stranger-{number}");
        client.call(&Ask {
            id: &id,
            path: PATH,
            key: "a-key-that-no-config-ever-held",
            budget_ms: BUDGET_MS,
        });
    }
    let runs = world.runs();
    let broken = runs.iter().filter(|run| run.id.starts_with("stranger"));
    let broken = broken.map(|run| {
        let (id, worker) = (&run.id, &run.worker);
        format!("{id}: ran at {worker}, and no config ever held its key")
    });
    Ok(broken.collect())
}
