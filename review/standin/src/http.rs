//! HTTP/1.1 for the stand-ins: whole requests and responses on blocking sockets.

use std::io::{self, BufRead as _, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

#[derive(Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// A parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query.split('&').find_map(|it| it.strip_prefix(name)?.strip_prefix('='))
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(it, _)| it == name).map(|(_, it)| it.as_str())
}

pub type Reader = BufReader<TcpStream>;

fn read_line(reader: &mut Reader) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

fn read_headers(reader: &mut Reader) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').unwrap_or((&line, ""));
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut Reader, headers: &[(String, String)]) -> io::Result<Option<Vec<u8>>> {
    let mut body = Vec::new();
    if header(headers, "transfer-encoding").is_some_and(|it| it.contains("chunked")) {
        loop {
            let size = read_line(reader)?;
            let size = size.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let start = body.len();
            body.resize(start + size, 0);
            reader.read_exact(&mut body[start..])?;
            read_line(reader)?;
            if size == 0 {
                return Ok(Some(body));
            }
        }
    }
    let Some(length) = header(headers, "content-length") else { return Ok(None) };
    body.resize(length.parse().unwrap_or(0), 0);
    reader.read_exact(&mut body)?;
    Ok(Some(body))
}

/// Reads the next request of a connection.
pub fn read_request(reader: &mut Reader) -> io::Result<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?.unwrap_or_default();
    Ok(Request { method, path, query, headers, body })
}

/// Writes a whole response.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status} {}\r\n", reason(status)).into_bytes();
    for (name, value) in headers {
        out.extend(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    out.extend(body);
    stream.write_all(&out)
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole response.
    Whole(u16, Vec<u8>),
    /// A response that ended early.
    Cut(u16),
    /// No response, though the request was sent.
    Nothing,
    /// No connection.
    Unreachable,
}

/// Sends `head` and `body` on a new connection, and reads the response until `deadline`.
pub fn call(address: SocketAddr, head: &str, body: &[u8], deadline: Instant) -> Outcome {
    let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let Ok(stream) = TcpStream::connect_timeout(&address, left.min(Duration::from_secs(1))) else {
        return Outcome::Unreachable;
    };
    drop(stream.set_nodelay(true));
    drop(stream.set_read_timeout(Some(left)));
    drop(stream.set_write_timeout(Some(left)));
    let mut reader = BufReader::new(stream);
    let mut out = head.as_bytes().to_vec();
    out.extend(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    out.extend(body);
    if reader.get_mut().write_all(&out).is_err() {
        return Outcome::Nothing;
    }
    let Ok(line) = read_line(&mut reader) else { return Outcome::Nothing };
    let status = line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    let Ok(headers) = read_headers(&mut reader) else { return Outcome::Cut(status) };
    match read_body(&mut reader, &headers) {
        Ok(Some(body)) => Outcome::Whole(status, body),
        Ok(None) => Outcome::Whole(status, Vec::new()),
        Err(_) => Outcome::Cut(status),
    }
}

/// Reads the next response of a kept connection, with its status and body.
pub fn read_response(reader: &mut Reader) -> io::Result<(u16, Vec<u8>)> {
    let line = read_line(reader)?;
    let status = line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Ok((status, body.unwrap_or_default()))
}
