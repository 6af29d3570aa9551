//! A small HTTP/1.1 server and client.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| decode_percent(value)).next()
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut position = 0;
    while position < bytes.len() {
        let code = (bytes[position] == b'%')
            .then(|| text.get(position + 1..position + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(code.unwrap_or(bytes[position]));
        position += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// What a server does with a request.
pub enum Reply {
    Answer(u16, String),
    /// Nothing is sent, and the connection stays open, as behind a partition.
    Silence,
}

pub type Handler = dyn Fn(&Request) -> Reply + Send + Sync;

/// A listener that can be closed together with all of its connections.
pub struct Server {
    stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Arc<Handler>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let stopped = Arc::new(AtomicBool::new(false));
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let thread = {
            let (stopped, connections) = (Arc::clone(&stopped), Arc::clone(&connections));
            std::thread::spawn(move || accept(&listener, &stopped, &connections, &handler))
        };
        Ok(Self { stopped, connections, thread: Some(thread) })
    }

    /// Closes all open connections.
    pub fn drop_connections(&self) {
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Closes the listener and all connections. Further connections are refused.
    pub fn stop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        self.drop_connections();
    }
}

fn accept(
    listener: &TcpListener,
    stopped: &Arc<AtomicBool>,
    connections: &Arc<Mutex<Vec<TcpStream>>>,
    handler: &Arc<Handler>,
) {
    while !stopped.load(Ordering::SeqCst) {
        match listener.accept() {
            Ok((stream, _)) => {
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    connections.lock().unwrap().push(copy);
                }
                let (handler, stopped) = (Arc::clone(handler), Arc::clone(stopped));
                std::thread::spawn(move || serve(stream, &handler, &stopped));
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                std::thread::sleep(Duration::from_millis(1))
            }
            Err(_) => std::thread::sleep(Duration::from_millis(5)),
        }
    }
}

fn serve(mut stream: TcpStream, handler: &Arc<Handler>, stopped: &AtomicBool) {
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer) {
        match handler(&request) {
            Reply::Answer(status, body) => {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                if stream.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Silence => {
                let mut rest = [0; 1024];
                while stream.read(&mut rest).is_ok_and(|count| count > 0) {}
                return;
            }
        }
    }
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let mut first = lines.next()?.split(' ');
            let (method, target) = (first.next()?.to_owned(), first.next()?.to_owned());
            let headers: Vec<(String, String)> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
                .collect();
            let length = headers
                .iter()
                .find(|(key, _)| key.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, value)| value.parse::<usize>().ok())
                .unwrap_or(0);
            while buffer.len() < end + 4 + length {
                read_more(stream, buffer)?;
            }
            let body = String::from_utf8_lossy(&buffer[end + 4..end + 4 + length]).into_owned();
            buffer.drain(..end + 4 + length);
            let (path, query) = match target.split_once('?') {
                Some((path, query)) => (path.to_owned(), query.to_owned()),
                None => (target, String::new()),
            };
            return Some(Request { method, path, query, headers, body });
        }
        read_more(stream, buffer)?;
    }
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 16_384];
    match stream.read(&mut chunk) {
        Ok(0) | Err(_) => None,
        Ok(count) => {
            buffer.extend_from_slice(&chunk[..count]);
            Some(())
        }
    }
}

/// Sends one request on a connection of its own. `None` if no complete answer came in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nX-Deadline-Ms: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut buffer = Vec::new();
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let status: u16 = head.split(' ').nth(1)?.parse().ok()?;
            let length: usize = head
                .split("\r\n")
                .filter_map(|line| line.split_once(':'))
                .find(|(key, _)| key.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, value)| value.trim().parse().ok())
                .unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let body = String::from_utf8_lossy(&buffer[end + 4..end + 4 + length]).into_owned();
                return Some((status, body));
            }
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return None;
        }
        stream.set_read_timeout(Some(left)).ok()?;
        read_more(&mut stream, &mut buffer)?;
    }
}
