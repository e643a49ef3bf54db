//! Blocking HTTP/1.1 messages over TCP, for stand-ins of clients, engines and the store.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

pub type Headers = Vec<(String, String)>;

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line: method, path and version, or version, status and reason.
    pub first: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.word(0)
    }

    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or_default()
    }

    pub fn query(&self, key: &str) -> Option<&str> {
        let (_, query) = self.word(1).split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(k, _)| *k == key).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into()
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(input: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_string();
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => message.headers.push((name.into(), value.trim().into())),
            None => return Ok(Some(message)),
        }
    }
}

/// Reads the body of a message. `on_data` gets its pieces as they arrive.
pub fn read_body(
    input: &mut impl BufRead,
    message: &Message,
    mut on_data: impl FnMut(&[u8]),
) -> io::Result<()> {
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|v| v.contains("chunked"));
    if is_chunked {
        loop {
            let mut line = String::new();
            if input.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut data = vec![0; size + 2];
            input.read_exact(&mut data)?;
            if size == 0 {
                return Ok(());
            }
            on_data(&data[..size]);
        }
    }
    let length = message
        .header("content-length")
        .and_then(|v| v.parse::<usize>().ok());
    let mut data = vec![0; length.unwrap_or(0)];
    input.read_exact(&mut data)?;
    on_data(&data);
    Ok(())
}

pub fn read_message(input: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(input)? else {
        return Ok(None);
    };
    let mut body = Vec::new();
    read_body(input, &message, |data| body.extend_from_slice(data))?;
    message.body = body;
    Ok(Some(message))
}

/// Builds a response with a length.
pub fn response(status: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    out += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    out.into_bytes()
}

/// Accepts connections, each on a thread of its own. The handler returns an error to close one.
pub fn serve<S: Default>(
    listener: TcpListener,
    handler: impl Fn(&Message, &mut TcpStream, &mut S) -> io::Result<()> + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let run = || -> io::Result<()> {
                    stream.set_nodelay(true)?;
                    let mut output = stream.try_clone()?;
                    let mut input = BufReader::new(stream);
                    let mut state = S::default();
                    while let Some(message) = read_message(&mut input)? {
                        handler(&message, &mut output, &mut state)?;
                    }
                    Ok(())
                };
                run().ok();
            });
        }
    });
}

/// A client's connection.
pub struct Conn {
    input: BufReader<TcpStream>,
}

impl Conn {
    pub fn open(addr: SocketAddr, timeout: Duration) -> io::Result<Conn> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Conn {
            input: BufReader::new(stream),
        })
    }

    /// Sends a request and reads the whole response. A response that breaks off is an error.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> io::Result<Message> {
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
        self.input.get_mut().write_all(head.as_bytes())?;
        let message = read_message(&mut self.input)?;
        message.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}
