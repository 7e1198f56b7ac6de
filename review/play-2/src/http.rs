//! A small HTTP/1.1 server and client: one thread per connection.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request as it was read.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// An answer to a request.
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Response {
        Response { status, headers: Vec::new(), body: body.into() }
    }

    pub fn with(mut self, name: &str, value: &str) -> Response {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

/// Serves requests on a free loopback port until the process ends. No answer closes the channel.
pub fn serve(
    handle: impl Fn(Request) -> Option<Response> + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _result = serve_connection(stream, &*handle);
            });
        }
    });
    Ok(address)
}

fn serve_connection(
    stream: TcpStream,
    handle: &dyn Fn(Request) -> Option<Response>,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(request) = read_request(&mut reader)? {
        let Some(response) = handle(request) else { return Ok(()) };
        let mut text = format!("HTTP/1.1 {} Answer\r\n", response.status);
        for (name, value) in &response.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", response.body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&response.body);
        stream.write_all(&bytes)?;
    }
    Ok(())
}

type Head = (String, Vec<(String, String)>);

fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> std::io::Result<Vec<u8>> {
    let length = find(headers, "content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(reader: &mut impl BufRead) -> std::io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let body = read_body(reader, &headers)?;
    Ok(Some(Request { method, target, headers, body }))
}

/// Sends a request on a new channel and reads the answer.
pub fn ask(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
    time: Duration,
) -> std::io::Result<Response> {
    let mut channel = Channel::open(address, time)?;
    channel.ask(method, target, headers, body)
}

/// A channel that is kept for several requests.
pub struct Channel {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Channel {
    pub fn open(address: SocketAddr, time: Duration) -> std::io::Result<Channel> {
        let stream = TcpStream::connect_timeout(&address, time)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(time))?;
        stream.set_write_timeout(Some(time))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Channel { stream, reader })
    }

    pub fn ask(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> std::io::Result<Response> {
        let mut text = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() || method == "POST" {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)?;
        let ended = || std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
        let (first, headers) = read_head(&mut self.reader)?.ok_or_else(ended)?;
        let status = first.split(' ').nth(1).and_then(|it| it.parse().ok()).ok_or_else(ended)?;
        let body = read_body(&mut self.reader, &headers)?;
        Ok(Response { status, headers, body })
    }
}
