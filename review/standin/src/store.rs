//! The platform's store: objects by kind and name, lists, watches, and writes with a revision.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    json::Json,
};

/// How long the store keeps its history.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Json,
}

impl Object {
    fn json(&self, name: &str) -> Json {
        let metadata = Json::obj([
            ("name", Json::str(name)),
            ("revision", Json::num(self.revision)),
            ("created", Json::num(self.created)),
            ("finalizers", Json::Arr(Vec::new())),
            ("deleting", Json::Bool(false)),
        ]);
        Json::obj([
            ("metadata", metadata),
            ("spec", self.spec.clone()),
            ("status", Json::Null),
        ])
    }
}

struct Change {
    at: Instant,
    revision: u64,
    kind: String,
    /// An event of a watch, as text.
    event: String,
}

#[derive(Default)]
struct Data {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
}

/// Called for each write that was done, before its answer is sent, with the kind, the name, the
/// object before and the object after. Returns false if the answer is to be lost.
type Hook = Box<dyn Fn(&str, &str, Option<&Json>, &Json) -> bool + Send + Sync>;

#[derive(Clone, Default)]
pub struct Store {
    data: Arc<Mutex<Data>>,
    changed: Arc<Condvar>,
    hook: Arc<Mutex<Option<Hook>>>,
}

impl Store {
    pub fn start(addr: SocketAddr) -> io::Result<(Store, SocketAddr)> {
        let store = Store::default();
        store.data.lock().unwrap().revision = 100;
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let handler = store.clone();
        http::serve(listener, move |req, out, _: &mut ()| {
            handler.handle(req, out)
        });
        Ok((store, addr))
    }

    pub fn set_hook(
        &self,
        hook: impl Fn(&str, &str, Option<&Json>, &Json) -> bool + Send + Sync + 'static,
    ) {
        *self.hook.lock().unwrap() = Some(Box::new(hook));
    }

    /// Writes an object without a condition, as the operator and the engines do.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        let mut data = self.data.lock().unwrap();
        write(&mut data, kind, name, spec);
        self.changed.notify_all();
    }

    pub fn spec(&self, kind: &str, name: &str) -> Option<Json> {
        let data = self.data.lock().unwrap();
        let object = data.objects.get(&(kind.to_string(), name.to_string()));
        object.map(|object| object.spec.clone())
    }

    fn handle(&self, req: &Message, out: &mut TcpStream) -> io::Result<()> {
        let path = req.path().to_string();
        let parts: Vec<&str> = path
            .trim_start_matches("/api/objects/")
            .split('/')
            .collect();
        let (kind, name) = (parts[0], parts.get(1).copied());
        let (status, body) = match (req.method(), name) {
            ("GET", Some(name)) => self.read(kind, name),
            ("GET", None) => match req.query("watch") {
                Some(since) => {
                    let wait = req
                        .query("waitMs")
                        .and_then(|w| w.parse().ok())
                        .unwrap_or(0);
                    self.watch(
                        kind,
                        since.parse().unwrap_or(0),
                        Duration::from_millis(wait),
                    )
                }
                None => self.list(kind),
            },
            ("POST" | "PUT", _) => match self.update(req, kind, name) {
                Some(done) => done,
                // The answer is lost: nothing further comes on this connection.
                None => {
                    std::thread::sleep(Duration::from_secs(200));
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
            },
            _ => ("400 Bad Request", String::new()),
        };
        let headers = [("Content-Type", "application/json")];
        out.write_all(&http::response(status, &headers, &body))
    }

    fn read(&self, kind: &str, name: &str) -> (&'static str, String) {
        let data = self.data.lock().unwrap();
        match data.objects.get(&(kind.to_string(), name.to_string())) {
            Some(object) => ("200 OK", object.json(name).to_string()),
            None => ("404 Not Found", String::new()),
        }
    }

    fn list(&self, kind: &str) -> (&'static str, String) {
        let data = self.data.lock().unwrap();
        let items = data.objects.iter().filter(|((k, _), _)| k == kind);
        let items = items.map(|((_, name), object)| object.json(name)).collect();
        let list = Json::obj([
            ("items", Json::Arr(items)),
            ("morePages", Json::Bool(false)),
            ("asOf", Json::num(data.revision)),
        ]);
        ("200 OK", list.to_string())
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let mut data = self.data.lock().unwrap();
        loop {
            let now = Instant::now();
            let old = data
                .history
                .iter()
                .take_while(|change| now - change.at > HISTORY)
                .count();
            if let Some(last) = data.history.drain(..old).last() {
                data.forgotten = last.revision;
            }
            if since < data.forgotten {
                return ("410 Gone", String::new());
            }
            let new = data
                .history
                .iter()
                .filter(|c| c.kind == kind && c.revision > since);
            let events: Vec<&str> = new.map(|change| change.event.as_str()).collect();
            if !events.is_empty() || now >= until {
                let events = events.join(",");
                let body = format!("{{\"events\":[{events}],\"asOf\":{}}}", data.revision);
                return ("200 OK", body);
            }
            data = self.changed.wait_timeout(data, until - now).unwrap().0;
        }
    }

    /// A write of the system. `None` if its answer is lost.
    fn update(
        &self,
        req: &Message,
        kind: &str,
        name: Option<&str>,
    ) -> Option<(&'static str, String)> {
        let Some(body) = Json::parse(&req.text()) else {
            return Some(("400 Bad Request", String::new()));
        };
        let metadata = body.get("metadata").cloned().unwrap_or(Json::Null);
        let in_body = metadata
            .get("name")
            .and_then(Json::text)
            .map(str::to_string);
        let name = name.map(str::to_string).or(in_body).unwrap_or_default();
        let spec = body.get("spec").cloned().unwrap_or(Json::Null);
        let mut data = self.data.lock().unwrap();
        let known = data.objects.get(&(kind.to_string(), name.clone())).cloned();
        let expected = metadata.get("revision").and_then(Json::u64);
        match (req.method(), &known) {
            ("POST", Some(known)) => return Some(("409 Conflict", known.json(&name).to_string())),
            ("PUT", None) => return Some(("404 Not Found", String::new())),
            ("PUT", Some(known)) if expected.is_some_and(|rev| rev != known.revision) => {
                return Some(("409 Conflict", known.json(&name).to_string()));
            }
            _ => {}
        }
        if known.as_ref().is_none_or(|known| known.spec != spec) {
            write(&mut data, kind, &name, spec.clone());
            self.changed.notify_all();
        }
        let object = data.objects.get(&(kind.to_string(), name.clone()))?;
        let answer = object.json(&name).to_string();
        drop(data);
        let hook = self.hook.lock().unwrap();
        let before = known.as_ref().map(|known| &known.spec);
        let is_answered = hook
            .as_ref()
            .is_none_or(|hook| hook(kind, &name, before, &spec));
        is_answered.then_some(("200 OK", answer))
    }
}

fn write(data: &mut Data, kind: &str, name: &str, spec: Json) {
    data.revision += 1;
    let revision = data.revision;
    let key = (kind.to_string(), name.to_string());
    let created = data
        .objects
        .get(&key)
        .map_or(revision, |object| object.created);
    let object = Object {
        revision,
        created,
        spec,
    };
    let event = Json::obj([
        ("tombstone", Json::Bool(false)),
        ("object", object.json(name)),
    ]);
    data.history.push(Change {
        at: Instant::now(),
        revision,
        kind: kind.to_string(),
        event: event.to_string(),
    });
    data.objects.insert(key, object);
}
