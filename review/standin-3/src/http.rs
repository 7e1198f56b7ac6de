//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(it, _)| it.eq_ignore_ascii_case(name));
        found.next().map(|(_, it)| it.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let value = self.header(name).unwrap_or_default().to_ascii_lowercase();
        value.split(',').any(|it| it.trim() == token)
    }
}

/// Reads the first line and the headers. `None` at the end of the channel.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match message.line.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if message.line.is_empty() {
            message.line = line.into();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().into(), value.trim().into()));
        }
    }
}

/// Reads the body of a message. An answer without a length ends with its channel.
pub fn read_body(
    reader: &mut impl BufRead,
    message: &mut Message,
    is_answer: bool,
) -> io::Result<()> {
    if message.has_token("transfer-encoding", "chunked") {
        loop {
            let mut size = String::new();
            if reader.read_line(&mut size)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(size.trim().split(';').next().unwrap_or(""), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    match message.header("content-length").map(str::parse::<usize>) {
        Some(Ok(length)) => {
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)
        }
        Some(Err(_)) => Err(io::ErrorKind::InvalidData.into()),
        None if is_answer => reader.read_to_end(&mut message.body).map(drop),
        None => Ok(()),
    }
}

pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    read_body(reader, &mut message, false)?;
    Ok(Some(message))
}

pub fn write_answer(
    stream: &mut impl Write,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
    headers.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    stream.flush()
}

/// Sends a request on a new channel and reads the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    headers.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    if method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let mut answer = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &mut answer, true)?;
    Ok(answer)
}
