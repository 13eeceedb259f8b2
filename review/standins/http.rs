//! A small HTTP/1.1 reader and writer, enough for the stand-ins.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A request or an answer.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// First line, without its end.
    pub first_line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header; the name is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line: of a request 0 is the method and 1 the target, of an
    /// answer 1 is the status.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    /// Returns the status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// Returns a parameter of the target's query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.word(1).split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns the path of the target, without its query.
    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or("")
    }
}

/// Reads messages from one connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    /// Returns a reader of a connection.
    pub fn new(stream: TcpStream) -> Reader {
        Reader {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads some more bytes; fails at the end of the connection.
    fn fill(&mut self) -> Result<()> {
        let mut chunk = [0; 16 * 1024];
        let length = self.stream.read(&mut chunk)?;
        if length == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&chunk[..length]);
        Ok(())
    }

    /// Reads one message whose body has a `Content-Length` or is empty.
    pub fn message(&mut self) -> Result<Message> {
        let end = loop {
            let found = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
            match found {
                Some(end) => break end,
                None => self.fill()?,
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let mut message = Message {
            first_line,
            headers,
            body: Vec::new(),
        };
        if message.header("transfer-encoding").is_some() {
            return Err(Error::other("chunks are not read by this stand-in"));
        }
        let length = message.header("content-length").unwrap_or("0").parse();
        let length: usize = length.map_err(|_| Error::other("malformed length"))?;
        while self.buffer.len() < length {
            self.fill()?;
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(message)
    }
}

/// Writes an answer with its length.
pub fn answer(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> Result<()> {
    let length = body.len();
    let mut bytes =
        format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {length}\r\n\r\n")
            .into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends a request on a new connection and returns the answer.
pub fn call(address: &str, request: &[u8], timeout: Duration) -> Result<Message> {
    let address = address.parse().map_err(|_| Error::other("an address"))?;
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    Reader::new(stream).message()
}

/// Returns a request with a body in JSON.
pub fn post(target: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "POST {target} HTTP/1.1\r\nHost: standin\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}
