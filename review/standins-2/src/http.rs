//! HTTP/1.1 over loopback: a server with a thread for each connection, and a client for single calls.

use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// A request as the server has read it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query, decoded.
    pub fn parameter(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let value = query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
        decode_query(value.map_or("", |(_, value)| value))
    }
}

fn decode_query(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let escaped = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match escaped.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Answer of a handler: status and JSON body. `None` closes the connection without an answer.
pub type Answer = Option<(u16, String)>;

/// Serves a port of the loopback address for as long as this process runs.
pub fn serve<H>(port: u16, handler: H) -> std::io::Result<()>
where
    H: Fn(&Request) -> Answer + Send + Clone + 'static,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port))?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _unsupported = stream.set_nodelay(true);
            let handler = handler.clone();
            let serve = move || {
                let _closed = serve_connection(stream, &handler);
            };
            let _thread = std::thread::Builder::new().stack_size(512 << 10).spawn(serve);
        }
    });
    Ok(())
}

fn serve_connection<H: Fn(&Request) -> Answer>(stream: TcpStream, handler: &H) -> std::io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let Some((status, body)) = handler(&request) else {
            return writer.shutdown(Shutdown::Both);
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all((head + &body).as_bytes())?;
    }
    Ok(())
}

fn read_request(reader: &mut impl BufRead) -> std::io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let mut request = Request {
        method: words.next().unwrap_or_default().into(),
        target: words.next().unwrap_or_default().into(),
        ..Request::default()
    };
    request.headers = read_headers(reader)?;
    request.body = read_body(reader, request.header("content-length"))?;
    Ok(Some(request))
}

fn read_headers(reader: &mut impl BufRead) -> std::io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || line.trim().is_empty() {
            return Ok(headers);
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.trim().into(), value.trim().into()));
        }
    }
}

fn read_body(reader: &mut impl BufRead, length: &str) -> std::io::Result<String> {
    let mut body = vec![0; length.parse().unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Makes one call, with a deadline of 3 s, on a connection of its own. `None` if the client has left before the answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\nx-deadline-ms: 3000\r\ncontent-type: application/json\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    writer.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader).ok()?;
    let length = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case("content-length"));
    let body = read_body(&mut reader, length.map_or("0", |(_, value)| value.as_str())).ok()?;
    Some((status, body))
}

/// How a request on an open connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// With a complete answer.
    Answered(u16),
    /// The other side closed the connection in order after it had read the request, and sent no complete answer.
    ClosedUnanswered,
    /// The connection was reset, as when the other side has not read all bytes, or the time ran out.
    Broken,
}

/// A client's connection that stays open.
pub struct OpenConnection {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl OpenConnection {
    pub fn open(address: SocketAddr, timeout: Duration) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
        stream.set_read_timeout(Some(timeout)).ok()?;
        stream.set_nodelay(true).ok()?;
        let writer = stream.try_clone().ok()?;
        Some(Self { reader: BufReader::new(stream), writer })
    }

    /// Sends a request, and returns how it ended and the time from its last byte until then.
    pub fn call(&mut self, method: &str, path: &str, host: &str, body: &str) -> (Ended, Duration) {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: {host}\r\nx-deadline-ms: 3000\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        if self.writer.write_all(request.as_bytes()).is_err() {
            return (Ended::Broken, Duration::ZERO);
        }
        let sent = Instant::now();
        let ended = match self.read_answer() {
            Ok(Some(status)) => Ended::Answered(status),
            Ok(None) => Ended::ClosedUnanswered,
            Err(error) if error.kind() == std::io::ErrorKind::UnexpectedEof => Ended::ClosedUnanswered,
            Err(_) => Ended::Broken,
        };
        (ended, sent.elapsed())
    }

    /// Reads one answer; `None` if the connection was closed before its first byte.
    fn read_answer(&mut self) -> std::io::Result<Option<u16>> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let headers = read_headers(&mut self.reader)?;
        let length = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case("content-length"));
        read_body(&mut self.reader, length.map_or("0", |(_, value)| value.as_str()))?;
        Ok(line.split_whitespace().nth(1).and_then(|status| status.parse().ok()))
    }
}

/// Returns a port that is free now, below the range from which the system takes ports of outgoing connections.
///
/// So a port of a runner that is down can't be taken by a connection of another process.
pub fn free_port() -> u16 {
    const FIRST: u16 = 21_000;
    const COUNT: u16 = 10_000;
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let offset = (std::process::id() as u16).wrapping_mul(37);
    let until = Instant::now() + Duration::from_secs(5);
    while Instant::now() < until {
        let port = FIRST + offset.wrapping_add(NEXT.fetch_add(1, Ordering::SeqCst)) % COUNT;
        if TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok() {
            return port;
        }
    }
    0
}
