//! The little of HTTP/1.1 that the stand-ins need.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::time::Duration;

/// The head of a message, with the bytes that were read after it.
pub struct Head {
    pub first: String,
    headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(n, _)| n == name);
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

fn ended() -> Error {
    Error::new(ErrorKind::UnexpectedEof, "the connection has ended")
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Conn {
            stream,
            ahead: Vec::new(),
        }
    }

    pub fn limit(&self, time: Duration) {
        let _ = self.stream.set_read_timeout(Some(time));
    }

    fn more(&mut self) -> Result<()> {
        let mut buffer = [0; 16 * 1024];
        let count = self.stream.read(&mut buffer)?;
        if count == 0 {
            return Err(ended());
        }
        self.ahead.extend_from_slice(&buffer[..count]);
        Ok(())
    }

    fn line(&mut self) -> Result<String> {
        loop {
            if let Some(at) = self.ahead.iter().position(|&b| b == b'\n') {
                let line: Vec<u8> = self.ahead.drain(..=at).collect();
                let line = String::from_utf8_lossy(&line);
                return Ok(line.trim_end_matches(['\r', '\n']).to_owned());
            }
            self.more()?;
        }
    }

    pub fn head(&mut self) -> Result<Head> {
        let first = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else {
                return Ok(Head { first, headers });
            };
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }

    pub fn exactly(&mut self, count: usize) -> Result<Vec<u8>> {
        while self.ahead.len() < count {
            self.more()?;
        }
        Ok(self.ahead.drain(..count).collect())
    }

    /// Reads a chunk; empty at the end of the body.
    pub fn chunk(&mut self) -> Result<Vec<u8>> {
        let size = self.line()?;
        let size = usize::from_str_radix(size.trim(), 16)
            .map_err(|_| Error::new(ErrorKind::InvalidData, "no size of a chunk"))?;
        let data = self.exactly(size)?;
        self.line()?;
        Ok(data)
    }

    /// Reads the body of a request or of an answer that has a length.
    pub fn body(&mut self, head: &Head) -> Result<Vec<u8>> {
        if head.get("transfer-encoding") == Some("chunked") {
            let mut all = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(all);
                }
                all.extend(chunk);
            }
        }
        let length = head.get("content-length").and_then(|n| n.parse().ok());
        self.exactly(length.unwrap_or(0))
    }

    pub fn send(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn answer(&mut self, status: &str, headers: &str, body: &[u8]) -> Result<()> {
        let length = body.len();
        let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n");
        self.send(&[head.as_bytes(), body].concat())
    }

    /// Whether the other side has closed the connection.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0; 1];
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Resets the connection.
    pub fn reset(self) {
        let linger = [1i32, 0];
        // SAFETY: SO_LINGER (13) of SOL_SOCKET (1) takes two integers, on and the time.
        unsafe { setsockopt(self.stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
    }
}

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}
