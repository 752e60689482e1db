//! What all parts of a case share: the clock, the record, the runs at workers, and the processes that
//! have to end.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// One run of a request at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub worker: String,
    pub id: String,
    pub begin: f64,
    /// When the worker stopped working on it; `None` while it works.
    pub end: Option<f64>,
    pub how: &'static str,
}

struct Inner {
    start: Instant,
    record: PathBuf,
    lines: Mutex<Vec<(f64, String)>>,
    runs: Mutex<Vec<Run>>,
    pids: Mutex<Vec<u32>>,
    scratch: PathBuf,
    done: Mutex<bool>,
}

#[derive(Clone)]
pub struct World(Arc<Inner>);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Number of lines of the gateway's log that are kept.
const LOG_LINES: usize = 60;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Sends a signal to a process that the rig has started.
pub fn signal(pid: u32, signal: i32) {
    // SAFETY: a plain call with numbers; the process is a child that has not been waited for.
    unsafe { kill(pid as i32, signal) };
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

impl World {
    pub fn new(record: PathBuf) -> Self {
        World(Arc::new(Inner {
            start: Instant::now(),
            record,
            lines: Mutex::default(),
            runs: Mutex::default(),
            pids: Mutex::default(),
            scratch: std::env::temp_dir().join(format!("review-2-{}", std::process::id())),
            done: Mutex::new(false),
        }))
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.0.start.elapsed().as_secs_f64()
    }

    pub fn note(&self, line: impl Into<String>) {
        let now = self.now();
        self.0.lines.lock().unwrap().push((now, line.into()));
    }

    /// The temporary folder of the case, removed at its end.
    pub fn scratch(&self) -> &Path {
        &self.0.scratch
    }

    /// Has a process killed at the end of the case.
    pub fn owns(&self, pid: u32) {
        self.0.pids.lock().unwrap().push(pid);
    }

    /// Records that a worker begins to work on a request; returns the number of the run.
    pub fn run_begins(&self, worker: &str, id: &str, note: &str) -> usize {
        self.note(format!("worker {worker}: begins to work on {id}{note}"));
        let mut runs = self.0.runs.lock().unwrap();
        runs.push(Run {
            worker: worker.to_owned(),
            id: id.to_owned(),
            begin: self.now(),
            end: None,
            how: "",
        });
        runs.len() - 1
    }

    pub fn run_ends(&self, run: usize, how: &'static str) {
        let mut runs = self.0.runs.lock().unwrap();
        let run = &mut runs[run];
        run.end = Some(self.now());
        run.how = how;
        let line = format!("worker {}: ends work on {} ({how})", run.worker, run.id);
        drop(runs);
        self.note(line);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.0.runs.lock().unwrap().clone()
    }

    /// Requests that a second worker took up while the one before still worked on them `grace`
    /// seconds later.
    pub fn overlaps(&self, grace: f64) -> Vec<String> {
        let runs = self.runs();
        let now = self.now();
        let mut found = Vec::new();
        for later in &runs {
            for before in runs.iter().filter(|run| run.id == later.id) {
                let over = before.end.unwrap_or(now) - later.begin;
                if before.begin < later.begin && over > grace {
                    found.push(format!(
                        "{}: went on at {} at {:.3} s, and {} still worked on it {:.0} ms later",
                        later.id,
                        later.worker,
                        later.begin,
                        before.worker,
                        over * 1e3
                    ));
                }
            }
        }
        found
    }

    /// The lines of the gateways' logs that tell of requests, streams and gaps, up to a number of them.
    fn gateway_logs(&self) -> String {
        let mut out = String::new();
        let Ok(files) = std::fs::read_dir(&self.0.scratch) else {
            return out;
        };
        for path in files.flatten().map(|file| file.path()) {
            if path.extension().is_none_or(|extension| extension != "log") {
                continue;
            }
            let name = path
                .file_stem()
                .unwrap_or_default()
                .to_string_lossy()
                .into_owned();
            let log = std::fs::read_to_string(&path).unwrap_or_default();
            let tells = |line: &&str| {
                let words = ["\"request\":", "target gone", "outage", "gap"];
                words.iter().any(|word| line.contains(word))
            };
            let lines: Vec<&str> = log.lines().filter(tells).take(LOG_LINES).collect();
            let _ = writeln!(out, "\nof the log of {name}:\n{}", lines.join("\n"));
        }
        out
    }

    /// Ends all processes, writes the record and exits. `outcome` has what broke the rule.
    pub fn finish(&self, outcome: Result<Vec<String>, String>) -> ! {
        let mut done = self.0.done.lock().unwrap();
        if *done {
            drop(done);
            loop {
                std::thread::sleep(Duration::from_secs(1));
            }
        }
        *done = true;
        for &pid in self.0.pids.lock().unwrap().iter() {
            signal(pid, SIGKILL);
        }
        let (code, text) = match &outcome {
            Ok(broken) if broken.is_empty() => (0, "the rule held".to_owned()),
            Ok(broken) => (
                1,
                format!("the rule was broken:\n  {}", broken.join("\n  ")),
            ),
            Err(reason) => (2, format!("the case could not run: {reason}")),
        };
        self.note(text.clone());
        let mut out = String::new();
        for (at, line) in self.0.lines.lock().unwrap().iter() {
            let _ = writeln!(out, "{at:8.3} {line}");
        }
        out.push_str(&self.gateway_logs());
        let written = std::fs::write(&self.0.record, out);
        let _ = std::fs::remove_dir_all(&self.0.scratch);
        println!("{text}");
        exit(if written.is_err() { 2 } else { code });
    }
}
