//! HTTP/1.1 messages over blocking sockets, as far as the stand-ins need them.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub type Headers = Vec<(String, String)>;

/// A request as a server reads it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub path: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

/// A response as a client reads it. `complete` is false if it broke off.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    pub complete: bool,
}

pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key == name);
    found.map(|(_, value)| value.as_str())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Headers> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(reader)?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        if size == 0 {
            read_headers(reader)?;
            return Ok(());
        }
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..])?;
        read_line(reader)?;
    }
}

/// Reads the next request of a connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let path = words.nth(1).unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if header(&headers, "transfer-encoding").is_some() {
        read_chunks(reader, &mut body)?;
    } else if let Some(length) = header(&headers, "content-length") {
        body.resize(length.parse().unwrap_or(0), 0);
        reader.read_exact(&mut body)?;
    }
    Ok(Request {
        path,
        headers,
        body,
    })
}

/// Reads a response; one that breaks off after its head is returned as incomplete.
pub fn read_response(reader: &mut impl BufRead) -> io::Result<Response> {
    let line = read_line(reader)?;
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
    let headers = read_headers(reader)?;
    let mut response = Response {
        status: status.unwrap_or(0),
        headers,
        ..Response::default()
    };
    let read = if header(&response.headers, "transfer-encoding").is_some() {
        read_chunks(reader, &mut response.body)
    } else if let Some(length) = header(&response.headers, "content-length") {
        let length = length.parse().unwrap_or(0);
        let read = reader.take(length).read_to_end(&mut response.body);
        match read {
            Ok(count) if count as u64 == length => Ok(()),
            Ok(_) => Err(io::ErrorKind::UnexpectedEof.into()),
            Err(error) => Err(error),
        }
    } else {
        reader.read_to_end(&mut response.body).map(|_| ())
    };
    response.complete = read.is_ok();
    Ok(response)
}

/// Text of a request with a length.
pub fn request_text(method: &str, path: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" || !body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn connect(addr: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    Ok(stream)
}

/// One request on a new connection.
pub fn call(addr: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Response> {
    let mut stream = connect(addr, timeout)?;
    stream.write_all(request)?;
    read_response(&mut BufReader::new(stream))
}
