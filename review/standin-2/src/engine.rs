//! Stand-in of a model engine: streams events with increasing ids.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use crate::{
    http::{self, Message},
    record::Record,
};

/// A running engine.
#[derive(Clone)]
pub struct Engine {
    pub addr: SocketAddr,
    id: String,
}

/// Time between two events of an answer: that of an engine with little load.
const PAUSE: Duration = Duration::from_millis(2);

impl Engine {
    /// Starts an engine with this id. A request whose path ends with `/long` gets its events at a
    /// pause of 170 ms, any other one at once.
    pub fn start(id: &str, record: Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let engine = Self {
            addr: listener.local_addr()?,
            id: id.into(),
        };
        let handler = engine.clone();
        http::serve(listener, move |request, writer| {
            handler.handle(request, writer, &record)
        });
        Ok(engine)
    }

    /// The entry of the engine in the store.
    pub fn registration(&self, service: &str, born: u64) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"kr-central-a\",\
             \"version\":\"v1\",\"slots\":96,\"state\":\"ready\",\"coldLeftMs\":0,\"born\":{born},\
             \"seqNo\":1}}",
            self.addr
        )
    }

    fn handle(
        &self,
        request: &Message,
        writer: &mut TcpStream,
        record: &Record,
    ) -> io::Result<bool> {
        let Some(id) = request.header("x-cyclamenlead-attempt-id") else {
            let refused = [("X-Cyclamenlead-Not-Executed", "1")];
            http::answer(writer, 400, &refused, b"")?;
            return Ok(true);
        };
        let expected = request.header("x-cyclamenlead-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let other = [
                ("X-Cyclamenlead-Attempt-Id", id),
                ("X-Cyclamenlead-Instance-Id", self.id.as_str()),
            ];
            http::answer(writer, 421, &other, b"")?;
            return Ok(true);
        }
        let path = request.first.get(1).cloned().unwrap_or_default();
        let (events, pause) = match path.ends_with("/long") {
            true => (70, Duration::from_millis(170)),
            false => (10, PAUSE),
        };
        let counts = request.header("x-cyclamenlead-token-counts").unwrap_or("");
        let tenant = request.header("x-cyclamenlead-tenant").unwrap_or("");
        record.line(&format!(
            "engine {} runs {id} of {tenant}, tokens {counts}",
            self.id
        ));
        crate::RUNS
            .lock()
            .unwrap()
            .push((id.to_string(), tenant.to_string(), counts.to_string()));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Cyclamenlead-Attempt-Id: {id}\r\nX-Cyclamenlead-Server-Signature: {}.{id}\r\n\r\n",
            self.id
        );
        writer.write_all(head.as_bytes())?;
        for event in 1..=events {
            thread::sleep(pause);
            let data = format!("id: {event}\ndata: piece {event}\n\n");
            write!(writer, "{:x}\r\n{data}\r\n", data.len())?;
        }
        writer.write_all(b"0\r\n\r\n")?;
        record.line(&format!("engine {} has ended {id}", self.id));
        Ok(true)
    }
}
