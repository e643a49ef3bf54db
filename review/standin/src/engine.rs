//! A model engine: answers each request with a stream of events.

use std::{
    collections::HashMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    http::{self, Message, response},
    world::Record,
};

/// How often each request id has run, at all engines.
pub type Runs = Arc<Mutex<HashMap<String, u64>>>;

/// A model engine.
#[derive(Clone)]
pub struct Engine {
    pub id: &'static str,
    /// Tokens in one event, as the configuration tells for the service.
    pub stride: u64,
    pub event_ms: u64,
    pub runs: Runs,
    pub record: Record,
}

impl Engine {
    pub fn start(self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        http::serve(listener, move |req, out, _: &mut ()| self.handle(req, out));
        Ok(addr)
    }

    fn handle(&self, req: &Message, out: &mut TcpStream) -> io::Result<()> {
        if req.method() == "GET" {
            let headers = [("X-Cyclamenlead-Instance-Id", self.id)];
            return out.write_all(&response("200 OK", &headers, ""));
        }
        if req.header("x-cyclamenlead-expected-instance") != Some(self.id) {
            let headers = [("X-Cyclamenlead-Instance-Id", self.id)];
            return out.write_all(&response("421 Misdirected Request", &headers, ""));
        }
        let id = req.header("x-cyclamenlead-attempt-id").unwrap_or_default();
        let counts = req
            .header("x-cyclamenlead-token-counts")
            .unwrap_or_default();
        let output = counts
            .split_once(',')
            .and_then(|(_, max)| max.parse().ok())
            .unwrap_or(0_u64);
        *self.runs.lock().unwrap().entry(id.to_string()).or_default() += 1;
        self.record.line(format!("{} runs {id}", self.id));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Cyclamenlead-Attempt-Id: {id}\r\nX-Cyclamenlead-Server-Signature: sig.{}.{id}\r\n\r\n",
            self.id
        );
        out.write_all(head.as_bytes())?;
        for number in 1..=output / self.stride {
            thread::sleep(Duration::from_millis(self.event_ms));
            let words = vec!["tok"; self.stride as usize].join(" ");
            let event = format!("id: {number}\ndata: {words}\n\n");
            out.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        out.write_all(b"0\r\n\r\n")
    }
}
