//! Stand-in for a worker, one process each. Tells on standard output what it runs.
//!
//! A request on a path with `/stream/` gets events, one with `/call/` a plain answer. The body may
//! begin with `events=N;gap=MS;first=MS;` or `work=MS;`, which is the work that it costs. A body with the
//! word CRASHES ends the process as soon as it begins to run, if `--crash` is given. With `--keep`,
//! a request goes on after its connection has been closed. With `--unframed`, a stream has neither a
//! length nor chunks and ends with its connection. The line `slow X` on standard input makes
//! all work take X times as long, from the next event on.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::http::{self, header, Request};

struct Worker {
    id: String,
    slots: usize,
    crash: bool,
    keep: bool,
    unframed: bool,
    /// Factor of the time that work takes, in hundredths.
    slow: AtomicU64,
    running: AtomicUsize,
}

/// Runs until standard input ends.
pub fn main(args: &[String]) {
    let value = |name: &str| {
        let at = args.iter().position(|arg| arg == name);
        at.and_then(|at| args.get(at + 1))
            .cloned()
            .unwrap_or_default()
    };
    let addr: SocketAddr = value("--listen").parse().expect("an address");
    let worker = Arc::new(Worker {
        id: value("--id"),
        slots: value("--slots").parse().unwrap_or(8),
        crash: args.iter().any(|arg| arg == "--crash"),
        keep: args.iter().any(|arg| arg == "--keep"),
        unframed: args.iter().any(|arg| arg == "--unframed"),
        slow: AtomicU64::new(100),
        running: AtomicUsize::new(0),
    });
    let listener = (0..50).find_map(|_| {
        let listener = TcpListener::bind(addr);
        if listener.is_err() {
            thread::sleep(Duration::from_millis(20));
        }
        listener.ok()
    });
    let listener = listener.expect("the address is free");
    let server = worker.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let worker = server.clone();
            thread::spawn(move || worker.serve(stream));
        }
    });
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        if let Some(factor) = line
            .strip_prefix("slow ")
            .and_then(|word| word.parse::<f64>().ok())
        {
            worker.slow.store((factor * 100.0) as u64, Ordering::SeqCst);
            tell(&format!("slow {factor}"));
        }
    }
}

fn tell(line: &str) {
    // One write a line, so that lines of several threads don't mix.
    let _ = std::io::stdout()
        .lock()
        .write_all(format!("{line}\n").as_bytes());
}

fn number(body: &str, name: &str) -> Option<u64> {
    let value = body.split(';').find_map(|field| field.strip_prefix(name))?;
    value.strip_prefix('=')?.parse().ok()
}

impl Worker {
    fn work(&self, ms: u64) {
        thread::sleep(Duration::from_millis(
            ms * self.slow.load(Ordering::SeqCst) / 100,
        ));
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a socket can be cloned");
        let mut reader = BufReader::new(stream);
        while let Ok(request) = http::read_request(&mut reader) {
            if self.answer(&mut writer, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, writer: &mut TcpStream, request: &Request) -> std::io::Result<()> {
        let id = header(&request.headers, "attempt-id").unwrap_or_default();
        if request.path == "/health" {
            let head = format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return writer.write_all(head.as_bytes());
        }
        let expected = header(&request.headers, "expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            tell(&format!("moved {id}"));
            let head = format!("HTTP/1.1 421 X\r\nAttempt-Id: {id}\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
            return writer.write_all(head.as_bytes());
        }
        let running = self.running.fetch_add(1, Ordering::SeqCst);
        let result = match running < self.slots {
            true => self.run(writer, request, id, running + 1),
            false => {
                tell(&format!("full {id}"));
                let head = format!("HTTP/1.1 503 X\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                writer.write_all(head.as_bytes())
            }
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        result
    }

    fn run(
        &self,
        writer: &mut TcpStream,
        request: &Request,
        id: &str,
        running: usize,
    ) -> std::io::Result<()> {
        let body = String::from_utf8_lossy(&request.body);
        let tenant = header(&request.headers, "tenant").unwrap_or("-");
        let after = header(&request.headers, "last-event-id").unwrap_or("-");
        tell(&format!(
            "run {id} {} tenant={tenant} after={after}",
            request.path
        ));
        if self.crash && body.contains("CRASHES") {
            tell(&format!("crash {id}"));
            std::process::exit(9);
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: {}.{id}\r\nServer-Load: {running},0,{}\r\n",
            self.id, self.slots
        );
        if request.path.contains("/stream/") {
            let framing = match self.unframed {
                true => "Connection: close",
                false => "Transfer-Encoding: chunked",
            };
            let head = format!("{head}Content-Type: text/event-stream\r\n{framing}\r\n\r\n");
            writer.write_all(head.as_bytes())?;
            self.work(number(&body, "first").unwrap_or(0));
            let (events, gap) = (
                number(&body, "events").unwrap_or(3),
                number(&body, "gap").unwrap_or(50),
            );
            let first = after.parse().map_or(1, |after: u64| after + 1);
            for event in first..=events {
                self.work(gap);
                let text = format!("id: {event}\ndata: {id}-{event}\n\n");
                let bytes = match self.unframed {
                    true => text,
                    false => format!("{:x}\r\n{text}\r\n", text.len()),
                };
                let sent = writer.write_all(bytes.as_bytes());
                if !self.keep {
                    sent?;
                }
                tell(&format!("event {id} {event}"));
            }
            if self.unframed {
                tell(&format!("end {id}"));
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            let _ = writer.write_all(b"0\r\n\r\n");
        } else {
            self.work(number(&body, "work").unwrap_or(30));
            let text = format!("answer to {id}");
            writer.write_all(
                format!("{head}Content-Length: {}\r\n\r\n{text}", text.len()).as_bytes(),
            )?;
        }
        tell(&format!("end {id}"));
        Ok(())
    }
}
