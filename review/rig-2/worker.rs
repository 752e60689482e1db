//! A stand-in of a model worker: streams numbered events, and resumes after `Last-Event-Id`.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use crate::http::{Conn, Head};
use crate::store::Store;
use crate::world::{World, sleep_ms};

/// Time between two entries in the store.
const BEAT_MS: u64 = 1_200;
/// How old the values of a report are, in seconds.
const REPORT_AGE: f64 = 0.2;
/// Number of requests that wait for a place.
const QUEUE: usize = 8;
/// Number of waiting requests from which on new connections are reset.
const LONG_QUEUE: usize = 4;

/// The places of a worker.
#[derive(Default)]
struct Places {
    running: usize,
    waiting: usize,
}

/// How a worker works.
#[derive(Clone, Debug)]
pub struct Nature {
    pub slots: usize,
    /// Time from the arrival of a request to its first event.
    pub first_ms: u64,
    /// Time between two events.
    pub gap_ms: u64,
    /// Number of events of a whole answer.
    pub events: u64,
    /// Whether it drops a request when its connection closes.
    pub drops: bool,
}

struct Shared {
    world: World,
    id: String,
    nature: Nature,
    addr: SocketAddr,
    entry: String,
    store: Store,
    /// How many times as long work takes.
    slow: AtomicU64,
    /// Whether its memory has run out: the newest run waits, and so do new requests.
    full: AtomicBool,
    /// Whether it resets new connections while its queue is long.
    refuses: AtomicBool,
    places: Mutex<Places>,
    /// The run that has been preempted.
    preempted: Mutex<Option<usize>>,
    /// One in this many streams is reset midway; none if 0.
    resets: AtomicU64,
    taken: AtomicU64,
    /// Whether its entry has been removed.
    left: Mutex<bool>,
    /// Runs: id, begin, end, events.
    runs: Mutex<Vec<(String, f64, Option<f64>, u64)>>,
}

#[derive(Clone)]
pub struct Worker(Arc<Shared>);

impl Worker {
    pub fn start(world: &World, store: &Store, backend: &str, id: &str, nature: Nature) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let (slots, born) = (nature.slots, born.as_millis());
        let entry = format!(
            r#"{{"backend":"{backend}","address":"{addr}","zone":"a","version":"v1","slots":{slots},"state":"ready","coldRemainingMs":0,"callSeq":0,"born":{born}}}"#
        );
        let worker = Worker(Arc::new(Shared {
            world: world.clone(),
            id: id.to_owned(),
            nature,
            addr,
            entry,
            store: store.clone(),
            slow: AtomicU64::new(1),
            full: AtomicBool::new(false),
            refuses: AtomicBool::new(false),
            places: Mutex::default(),
            preempted: Mutex::default(),
            resets: AtomicU64::new(0),
            taken: AtomicU64::new(0),
            left: Mutex::new(false),
            runs: Mutex::default(),
        }));
        let (beating, serving) = (worker.clone(), worker.clone());
        std::thread::spawn(move || {
            loop {
                let left = beating.0.left.lock().unwrap();
                if *left {
                    return;
                }
                let shared = &beating.0;
                shared.store.put_worker(&shared.id, shared.entry.clone());
                drop(left);
                sleep_ms(BEAT_MS);
            }
        });
        std::thread::spawn(move || serving.listen(listener));
        worker
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    /// Has its entry taken out of the list without reporting that it is leaving. It goes on serving.
    /// Returns when the store has accepted this.
    pub fn leave(&self) -> f64 {
        let mut left = self.0.left.lock().unwrap();
        *left = true;
        self.0.store.put_worker(&self.0.id, String::new());
        let at = self.0.world.now();
        self.0
            .world
            .note(format!("worker {}: its entry is removed", self.0.id));
        at
    }

    pub fn set_slow(&self, times: u64) {
        self.0.slow.store(times, Ordering::Relaxed);
        self.0.world.note(format!(
            "worker {}: work takes {times} times as long",
            self.0.id
        ));
    }

    pub fn addr(&self) -> SocketAddr {
        self.0.addr
    }

    /// Lets its memory run out, which preempts the newest run, or be enough again.
    pub fn set_full(&self, full: bool) {
        let newest = match full {
            true => self
                .0
                .runs
                .lock()
                .unwrap()
                .iter()
                .rposition(|run| run.2.is_none()),
            false => None,
        };
        *self.0.preempted.lock().unwrap() = newest;
        self.0.full.store(full, Ordering::Relaxed);
        let run = newest.map(|row| self.0.runs.lock().unwrap()[row].0.clone());
        let run = run.unwrap_or_else(|| "none".to_owned());
        self.0.world.note(format!(
            "worker {}: out of memory: {full}, preempted: {run}",
            self.0.id
        ));
    }

    pub fn set_refuses(&self, refuses: bool) {
        self.0.refuses.store(refuses, Ordering::Relaxed);
        self.0.world.note(format!(
            "worker {}: refuses new connections: {refuses}",
            self.0.id
        ));
    }

    pub fn set_resets(&self, one_in: u64) {
        self.0.resets.store(one_in, Ordering::Relaxed);
        self.0.world.note(format!(
            "worker {}: resets one answer in {one_in}",
            self.0.id
        ));
    }

    /// Accepts connections. While it refuses them, it does not listen, so that each is reset.
    fn listen(&self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            if self.resets_connections() {
                listener = None;
                sleep_ms(5);
                continue;
            }
            let listening = listener.get_or_insert_with(|| bind_again(self.0.addr));
            let _ = listening.set_nonblocking(true);
            match listening.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let worker = self.clone();
                    std::thread::spawn(move || worker.serve(stream));
                }
                Err(_) => sleep_ms(2),
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        loop {
            let Ok(head) = conn.head() else { return };
            if conn.body(&head).is_err() {
                return;
            }
            match self.answer(conn, &head) {
                Some(kept) => conn = kept,
                None => return,
            }
        }
    }

    /// Answers a request; returns the connection if it is kept.
    fn answer(&self, mut conn: Conn, head: &Head) -> Option<Conn> {
        let id = &self.0.id;
        if head
            .get("expect-instance")
            .is_some_and(|expected| expected != id)
        {
            let instance = format!("Instance-Id: {id}\r\n");
            return conn
                .answer("421 Misdirected Request", &instance, b"")
                .ok()
                .map(|()| conn);
        }
        match (head.method(), head.path()) {
            ("GET", "/health") => {
                let headers = format!("Instance-Id: {id}\r\nServer-Load: {}\r\n", self.load());
                conn.answer("200 OK", &headers, b"").ok()?;
            }
            ("GET", "/v1/report") => {
                let report = self.report();
                self.0.world.note(format!("worker {id}: reports {report}"));
                let headers = "Content-Type: application/json\r\n";
                conn.answer("200 OK", headers, report.as_bytes()).ok()?;
            }
            ("POST", "/v1/hold-take") => {
                conn.answer("503 Service Unavailable", "", b"").ok()?;
            }
            (_, path) if path.starts_with("/puxa403/") => return self.order(conn, head),
            _ => return self.stream(conn, head),
        }
        Some(conn)
    }

    /// Runs an order.
    fn order(&self, mut conn: Conn, head: &Head) -> Option<Conn> {
        let Shared {
            world, id, nature, ..
        } = &*self.0;
        let request = head.get("attempt-id").unwrap_or("none");
        let run = world.run_begins(id, request, "");
        sleep_ms(nature.first_ms);
        world.run_ends(run, "done");
        let headers = format!(
            "Attempt-Id: {request}\r\nServer-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nServer-Load: {}\r\n",
            self.load()
        );
        conn.answer("200 OK", &headers, request.as_bytes()).ok()?;
        Some(conn)
    }

    fn resets_connections(&self) -> bool {
        let waiting = self.0.places.lock().unwrap().waiting;
        self.0.refuses.load(Ordering::Relaxed) && waiting >= LONG_QUEUE
    }

    fn load(&self) -> String {
        let places = self.0.places.lock().unwrap();
        format!(
            "{},{},{}",
            places.running, places.waiting, self.0.nature.slots
        )
    }

    /// Takes a place for a request, after a wait if there is none. Returns `false` if the worker is
    /// full, or the request is dropped while it waits.
    fn take_place(&self, conn: &Conn) -> bool {
        let has_room = |places: &Places| {
            places.running < self.0.nature.slots && !self.0.full.load(Ordering::Relaxed)
        };
        let mut places = self.0.places.lock().unwrap();
        if !has_room(&places) {
            if places.waiting >= QUEUE {
                return false;
            }
            places.waiting += 1;
            while !has_room(&places) {
                drop(places);
                sleep_ms(5);
                let dropped = self.0.nature.drops && conn.is_closed();
                places = self.0.places.lock().unwrap();
                if dropped {
                    places.waiting -= 1;
                    return false;
                }
            }
            places.waiting -= 1;
        }
        places.running += 1;
        true
    }

    fn report(&self) -> String {
        let (at, mut rows, mut active) = (self.0.world.now() - REPORT_AGE, Vec::new(), 0);
        for (id, begin, end, events) in self.0.runs.lock().unwrap().iter() {
            if *begin <= at && end.is_none_or(|end| end > at) {
                active += 1;
                rows.push(format!(r#"["{id}",1460,{events},1]"#));
            }
        }
        let runs = rows.join(",");
        let queued = self.0.places.lock().unwrap().waiting;
        format!(
            r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"callSeq":0,"queued":{queued},"active":{active},"kvUsed":0,"kvTotal":789097,"handles":0,"runs":[{runs}]}}"#
        )
    }

    /// Waits for a time of work on a run. Returns `false` once the request is dropped.
    fn work(&self, conn: &Option<Conn>, row: usize, ms: u64) -> bool {
        // In tenths of a millisecond at the usual speed.
        let mut left = ms * 10;
        loop {
            let is_closed = conn.as_ref().is_some_and(Conn::is_closed);
            if self.0.nature.drops && is_closed {
                return false;
            }
            if left == 0 {
                return true;
            }
            sleep_ms(10);
            let waits = *self.0.preempted.lock().unwrap() == Some(row);
            let step = 100 / self.0.slow.load(Ordering::Relaxed);
            left = left.saturating_sub(if waits { 0 } else { step });
        }
    }

    fn stream(&self, mut conn: Conn, head: &Head) -> Option<Conn> {
        let Shared {
            world, id, nature, ..
        } = &*self.0;
        let request = head.get("attempt-id").unwrap_or("none").to_owned();
        let after: u64 = head
            .get("last-event-id")
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        if !self.take_place(&conn) {
            world.note(format!("worker {id}: rejects {request}, it is full"));
            let load = format!(
                "Not-Executed: 1\r\nAttempt-Id: {request}\r\nServer-Load: {}\r\n",
                self.load()
            );
            return conn
                .answer("503 Service Unavailable", &load, b"")
                .ok()
                .map(|()| conn);
        }
        let tenant = head.get("tenant").unwrap_or("none");
        let note = format!(" (tenant {tenant}, after event {after})");
        let run = world.run_begins(id, &request, &note);
        let row = {
            let mut runs = self.0.runs.lock().unwrap();
            runs.push((request.clone(), world.now(), None, after));
            runs.len() - 1
        };
        let nth = self.0.taken.fetch_add(1, Ordering::Relaxed) + 1;
        let resets = self.0.resets.load(Ordering::Relaxed);
        let loses = resets > 0 && nth.is_multiple_of(resets);
        let load = self.load();
        let headers = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {request}\r\nServer-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nServer-Load: {load}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut conn = Some(conn);
        let mut how = "done";
        for event in after + 1..=nature.events {
            let is_first = event == after + 1;
            let ms = if is_first {
                nature.first_ms
            } else {
                nature.gap_ms
            };
            if !self.work(&conn, row, ms) {
                how = "dropped, its connection was closed";
                break;
            }
            self.0.runs.lock().unwrap()[row].3 = event;
            let text = format!("id: {event}\ndata: {request}/{event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            let head = if is_first { headers.as_str() } else { "" };
            if let Some(open) = &mut conn
                && open.send(format!("{head}{chunk}").as_bytes()).is_err()
            {
                conn = None;
            }
            if loses && event == after + 3 {
                world.note(format!(
                    "worker {id}: the connection of {request} is reset, it works on"
                ));
                if let Some(open) = conn.take() {
                    open.reset();
                }
            }
        }
        self.0.places.lock().unwrap().running -= 1;
        world.run_ends(run, how);
        self.0.runs.lock().unwrap()[row].2 = Some(world.now());
        let mut conn = conn.filter(|_| how == "done")?;
        conn.send(b"0\r\n\r\n").ok().map(|()| conn)
    }
}

fn bind_again(addr: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(addr) {
            Ok(listener) => return listener,
            Err(_) => sleep_ms(20),
        }
    }
}
