//! A small deployment on loopback addresses: gateway processes, worker processes, and the store.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::store::Store;

pub const SERVERS: &str = "keyed.servers";
/// Time between two check-ins of a worker, as on the pages.
const BEAT: Duration = Duration::from_millis(1_200);
/// Silence after which an entry is removed: three check-ins.
const SILENCE: Duration = Duration::from_millis(3_600);

/// Everything that was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn add(&self, line: String) {
        let mut lines = self.lines.lock().unwrap();
        lines.push((self.now(), line));
    }

    pub fn lines(&self) -> Vec<(f64, String)> {
        self.lines.lock().unwrap().clone()
    }

    pub fn write(&self, path: &Path) {
        let lines = self.lines();
        let text: Vec<String> = lines
            .iter()
            .map(|(at, line)| format!("{at:8.3} {line}"))
            .collect();
        let _ = fs::write(path, text.join("\n") + "\n");
    }
}

/// Processes that were started and not yet waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes and this one if a case takes too long.
pub fn limit(time: Duration) {
    thread::spawn(move || {
        thread::sleep(time);
        for pid in RUNNING.lock().unwrap().iter() {
            let _ = Command::new("kill")
                .args(["-KILL", &pid.to_string()])
                .status();
        }
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

/// A process that ends with this value.
pub struct Process(pub Child);

impl Process {
    fn spawn(command: &mut Command) -> std::io::Result<Process> {
        let mut running = RUNNING.lock().unwrap();
        let child = command.spawn()?;
        running.push(child.id());
        Ok(Process(child))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        RUNNING.lock().unwrap().retain(|&pid| pid != self.0.id());
    }
}

/// Sends lines to a worker.
#[derive(Default)]
pub struct WorkerControl {
    input: Mutex<Option<std::process::ChildStdin>>,
    pid: Mutex<Option<u32>>,
}

impl WorkerControl {
    /// Ends the worker's process with SIGKILL.
    pub fn kill(&self) {
        if let Some(pid) = *self.pid.lock().unwrap() {
            let _ = Command::new("kill")
                .args(["-KILL", &pid.to_string()])
                .status();
        }
    }

    pub fn send(&self, line: &str) {
        if let Some(input) = &mut *self.input.lock().unwrap() {
            let _ = input.write_all(format!("{line}\n").as_bytes());
        }
    }
}

/// What a deployment holds, of the limits of its machines and bounds.
#[derive(Clone)]
pub struct Plan {
    pub gateways: usize,
    pub config: String,
}

pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    pub process: Option<Process>,
}

pub struct Fleet {
    pub record: Record,
    pub store: Store,
    pub gateways: Vec<Gateway>,
    pub dir: PathBuf,
    host: u8,
    port: u16,
    run: Vec<String>,
    stop: Arc<AtomicBool>,
    next_worker: u8,
}

/// Ports of every machine: front, ready, control, the first of the range, metrics.
const PORTS: u16 = 5;

impl Fleet {
    /// Starts the store and writes the configuration into it.
    pub fn start(plan: &Plan) -> Result<Fleet, String> {
        let seed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .subsec_nanos()
            ^ std::process::id();
        let dir = std::env::temp_dir().join(format!("review-{}-{seed:x}", std::process::id()));
        fs::create_dir_all(&dir).map_err(|error| error.to_string())?;
        let (host, port) = free_ports(seed).ok_or("no free ports")?;
        let store_addr = address(host, 250, port);
        let store = Store::start(store_addr).map_err(|error| error.to_string())?;
        store.append("keyed.op", "config", &plan.config);
        let deploy = fs::read_to_string("deploy/system.toml").map_err(|error| error.to_string())?;
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = "))
            .ok_or("no run line")?;
        let run = run
            .trim_matches('"')
            .split(' ')
            .map(str::to_owned)
            .collect();
        let mut fleet = Fleet {
            record: Record::new(),
            store,
            gateways: Vec::new(),
            dir,
            host,
            port,
            run,
            stop: Arc::default(),
            next_worker: 1,
        };
        fleet.record.add("config ".to_owned() + &plan.config);
        for index in 0..plan.gateways {
            fleet.add_gateway(index, plan.gateways)?;
        }
        Ok(fleet)
    }

    fn add_gateway(&mut self, index: usize, count: usize) -> Result<(), String> {
        let at =
            |machine: usize, port: u16| address(self.host, machine as u8 + 1, self.port + port);
        let seeds: Vec<String> = (0..count.min(3))
            .map(|seed| format!("\"{}\"", at(seed, 2)))
            .collect();
        let zone = format!("zone-{}", (b'a' + index as u8) as char);
        let ip = at(index, 0).ip().to_string();
        let values = HashMap::from([
            ("nodeName", format!("front-{zone}-1")),
            ("listen.front", at(index, 0).to_string()),
            ("listen.ready", at(index, 1).to_string()),
            ("ip", ip),
            ("portRange.0", (self.port + 3).to_string()),
            ("seeds|json", format!("[{}]", seeds.join(","))),
            ("bootstrap", "true".to_owned()),
            ("zones|json", format!("{{\"{zone}\":\"rig\"}}")),
            ("region", "rig".to_owned()),
            ("zone", zone),
            (
                "provider.address",
                address(self.host, 250, self.port).to_string(),
            ),
            ("limits.maxFds", "4200".to_owned()),
            ("limits.memoryMb", "260".to_owned()),
            ("limits.cpuShare", "0.19".to_owned()),
            ("bounds.graceS", "8".to_owned()),
            ("bounds.retryRatio", "0.2".to_owned()),
            ("bounds.retrySlack", "54".to_owned()),
            ("bounds.retryWindowS", "10".to_owned()),
        ]);
        let mut text =
            fs::read_to_string("deploy/gateway.json").map_err(|error| error.to_string())?;
        for (name, value) in &values {
            text = text.replace(&format!("{{{{{name}}}}}"), value);
        }
        // The template's port for metrics is fixed; here it has to be free as well.
        text = text.replace(":9464\"", &format!(":{}\"", self.port + 4));
        let settings = self.dir.join(format!("gateway-{index}.json"));
        fs::write(&settings, text).map_err(|error| error.to_string())?;
        let gateway = Gateway {
            name: format!("g{index}"),
            front: at(index, 0),
            ready: at(index, 1),
            log: self.dir.join(format!("gateway-{index}.log")),
            settings,
            process: None,
        };
        self.gateways.push(gateway);
        self.start_gateway(index)
    }

    /// Starts a gateway with the command of the deploy file.
    pub fn start_gateway(&mut self, index: usize) -> Result<(), String> {
        let gateway = &mut self.gateways[index];
        let log = File::options()
            .create(true)
            .append(true)
            .open(&gateway.log)
            .map_err(|e| e.to_string())?;
        let mut command = Command::new(&self.run[0]);
        for word in &self.run[1..] {
            match word.starts_with("/etc/") {
                true => command.arg(&gateway.settings),
                false => command.arg(word),
            };
        }
        command.env("BALSAMPITCH_CONFIG", &gateway.settings);
        command
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log);
        let process =
            Process::spawn(&mut command).map_err(|error| format!("{:?}: {error}", self.run))?;
        self.record.add(format!("start {}", gateway.name));
        gateway.process = Some(process);
        Ok(())
    }

    /// Waits until all gateways are ready.
    pub fn await_ready(&self, limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        while !self.gateways.iter().all(|gateway| is_ready(gateway.ready)) {
            if Instant::now() > until {
                return Err("the gateways are not ready".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.add("all gateways are ready".to_owned());
        Ok(())
    }

    /// Keeps a worker running at a new address: it checks in every 1.2 s; when it ends, it is back
    /// `down` later as a new lifetime, and its old entry is removed after three check-ins.
    pub fn add_worker(
        &mut self,
        service: &str,
        slots: usize,
        zone: &str,
        options: &[&'static str],
        down: Duration,
    ) -> Arc<WorkerControl> {
        let addr = address(self.host, 100 + self.next_worker, self.port);
        self.next_worker += 1;
        let number = self.next_worker;
        let (record, store, stop) = (self.record.clone(), self.store.clone(), self.stop.clone());
        let (service, zone) = (service.to_owned(), zone.to_owned());
        let options = options.to_vec();
        let control = Arc::new(WorkerControl::default());
        let own_control = control.clone();
        thread::spawn(move || {
            let mut lifetime = 0;
            while !stop.load(Ordering::SeqCst) {
                lifetime += 1;
                let id = format!("i-{number:02x}{lifetime:06x}");
                let born = SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap()
                    .as_millis();
                let entry = |seq: u64| {
                    format!(
                        "{{\"backend\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
                         \"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\
                         \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"callSeq\":{seq},\"born\":{born}}}"
                    )
                };
                run_worker(
                    &record,
                    &store,
                    &stop,
                    addr,
                    &id,
                    slots,
                    &options,
                    &own_control,
                    &entry,
                );
                let (store, gone) = (store.clone(), id);
                let gone_record = record.clone();
                thread::spawn(move || {
                    thread::sleep(SILENCE);
                    store.append(SERVERS, &gone, "");
                    gone_record.add(format!("entry {gone} removed"));
                });
                thread::sleep(down);
            }
        });
        control
    }

    pub fn end(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for gateway in &mut self.gateways {
            gateway.process = None;
        }
        thread::sleep(Duration::from_millis(200));
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end();
    }
}

#[allow(clippy::too_many_arguments)]
fn run_worker(
    record: &Record,
    store: &Store,
    stop: &AtomicBool,
    addr: SocketAddr,
    id: &str,
    slots: usize,
    options: &[&str],
    control: &WorkerControl,
    entry: &dyn Fn(u64) -> String,
) {
    let mut command = Command::new(std::env::current_exe().expect("the program has a path"));
    command.args([
        "worker",
        "--listen",
        &addr.to_string(),
        "--id",
        id,
        "--slots",
        &slots.to_string(),
    ]);
    command.args(options);
    command.stdin(Stdio::piped()).stdout(Stdio::piped());
    let Ok(mut process) = Process::spawn(&mut command) else {
        record.add(format!("worker {id} could not start"));
        return;
    };
    let output = process.0.stdout.take().expect("it is piped");
    *control.input.lock().unwrap() = process.0.stdin.take();
    *control.pid.lock().unwrap() = Some(process.0.id());
    let (lines, name) = (record.clone(), id.to_owned());
    let reader = thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            lines.add(format!("{name} {line}"));
        }
    });
    record.add(format!("worker {id} at {addr}"));
    let mut beat = Instant::now();
    let mut ended = false;
    while !stop.load(Ordering::SeqCst) && !ended {
        if Instant::now() >= beat {
            store.append(SERVERS, id, &entry(1));
            beat += BEAT;
        }
        thread::sleep(Duration::from_millis(10));
        ended = !matches!(process.0.try_wait(), Ok(None));
    }
    *control.input.lock().unwrap() = None;
    *control.pid.lock().unwrap() = None;
    drop(process);
    let _ = reader.join();
    record.add(format!("worker {id} ended"));
}

pub fn is_ready(addr: SocketAddr) -> bool {
    let request = b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    http::call(addr, request, Duration::from_secs(1)).is_ok_and(|response| response.status == 200)
}

fn address(host: u8, machine: u8, port: u16) -> SocketAddr {
    (Ipv4Addr::new(127, 90, host, machine), port).into()
}

/// A loopback network and a first port at which nothing listens.
fn free_ports(seed: u32) -> Option<(u8, u16)> {
    (0..200u32).find_map(|attempt| {
        let mixed = seed
            .wrapping_mul(2_654_435_761)
            .wrapping_add(attempt * 7_919);
        let (host, port) = ((mixed >> 8) as u8, 20_000 + (mixed >> 16) as u16 % 10_000);
        let free = |machine: u8, port: u16| TcpListener::bind(address(host, machine, port)).is_ok();
        let machines = [1, 2, 3, 4, 5, 6, 250];
        let all = machines
            .iter()
            .all(|&machine| (0..PORTS).all(|offset| free(machine, port + offset)));
        all.then_some((host, port))
    })
}

/// Ends the program with a verdict: 1 broken, 0 held, 2 could not run.
pub fn finish(record: &Record, verdict: Result<bool, String>) -> i32 {
    let (code, text) = match verdict {
        Ok(true) => (1, "BROKEN".to_owned()),
        Ok(false) => (0, "HELD".to_owned()),
        Err(error) => (2, format!("COULD NOT RUN: {error}")),
    };
    record.add(format!("verdict: {text}"));
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
    record.write(Path::new(&path));
    let mut out = std::io::stdout();
    let _ = writeln!(out, "{text}");
    code
}
