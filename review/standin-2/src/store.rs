//! Stand-in of the platform's metadata store: objects, lists, watches and conditional writes.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    json::Json,
    record::{Random, Record},
};

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: Json,
}

struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<(u64, String, String)>,
    /// Share of the writes that are done and not answered.
    lost_share: f64,
    random: Random,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    record: Record,
    pub addr: SocketAddr,
}

fn render(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":1,\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.spec
    )
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Json) -> String {
        let key = (kind.to_string(), name.to_string());
        // A write that changes nothing does not raise the revision.
        if let Some(known) = self.objects.get(&key).filter(|known| known.spec == spec) {
            return render(name, known);
        }
        self.revision += 1;
        let object = Object {
            revision: self.revision,
            spec,
        };
        let rendered = render(name, &object);
        let event = format!("{{\"tombstone\":false,\"object\":{rendered}}}");
        self.events.push((self.revision, kind.into(), event));
        self.objects.insert(key, object);
        rendered
    }
}

impl Store {
    pub fn start(record: Record, seed: u64) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let state = State {
            revision: 40,
            objects: BTreeMap::new(),
            events: Vec::new(),
            lost_share: 0.0,
            random: Random::new(seed),
        };
        let store = Self {
            state: Arc::new(Mutex::new(state)),
            record,
            addr,
        };
        let handler = store.clone();
        http::serve(listener, move |request, writer| {
            handler.handle(request, writer)
        });
        Ok(store)
    }

    /// Writes an object as the operator and the engines do.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let spec = Json::parse(spec).expect("the spec is JSON");
        self.state.lock().unwrap().put(kind, name, spec);
    }

    /// Loses the answers of this share of the writes from now on.
    pub fn lose_answers(&self, share: f64) {
        self.record.line(&format!(
            "store: loses the answers of {share} of the writes"
        ));
        self.state.lock().unwrap().lost_share = share;
    }

    fn handle(&self, request: &Message, writer: &mut impl Write) -> io::Result<bool> {
        thread::sleep(ANSWER_TIME);
        let json = [("Content-Type", "application/json")];
        let method = request.first.first().cloned().unwrap_or_default();
        let target = request.first.get(1).cloned().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|part| part.split_once('='))
            .collect();
        let Some(path) = path.strip_prefix("/api/objects/") else {
            http::answer(writer, 404, &json, b"{}")?;
            return Ok(true);
        };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        if method != "GET" {
            let (status, body) = self.write(&method, kind, name, &request.text());
            let is_lost = {
                let mut state = self.state.lock().unwrap();
                let share = state.lost_share;
                state.random.unit() < share
            };
            if kind == "prepaid-shares" {
                self.log_write(&method, name, &request.text(), status, is_lost);
            }
            if is_lost {
                // The connection stays open, and nothing more comes on it.
                thread::sleep(Duration::from_secs(30));
                return Ok(false);
            }
            http::answer(writer, status, &json, body.as_bytes())?;
            return Ok(true);
        }
        let (status, body) = match query.get("watch").and_then(|since| since.parse().ok()) {
            Some(since) => (200, self.watch(kind, since, &query)),
            None if name.is_empty() => (200, self.list(kind, query.get("after").unwrap_or(&""))),
            None => {
                let state = self.state.lock().unwrap();
                let object = state.objects.get(&(kind.to_string(), name.to_string()));
                object.map_or((404, "{}".into()), |object| (200, render(name, object)))
            }
        };
        http::answer(writer, status, &json, body.as_bytes())?;
        Ok(true)
    }

    fn log_write(&self, method: &str, name: &str, body: &str, status: u16, is_lost: bool) {
        let body = Json::parse(body);
        let spec = body.as_ref().and_then(|body| body.get("spec"));
        let drawn = spec.and_then(|spec| spec.get("drawn")).cloned();
        let metadata = body.as_ref().and_then(|body| body.get("metadata"));
        let base = metadata
            .and_then(|metadata| metadata.get("revision"))
            .cloned();
        let name = match metadata
            .and_then(|metadata| metadata.get("name"))
            .and_then(Json::text)
        {
            Some(named) => named,
            None => name,
        };
        self.record.line(&format!(
            "store: {method} prepaid-shares/{name} base {} drawn {} -> {status}{}",
            base.unwrap_or(Json::Null),
            drawn.unwrap_or(Json::Null),
            if is_lost { ", answer lost" } else { "" }
        ));
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let state = self.state.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((of, _), _)| of == kind);
        let items = of_kind.filter(|((_, name), _)| name.as_str() > after);
        let items: Vec<String> = items
            .map(|((_, name), object)| render(name, object))
            .collect();
        format!(
            "{{\"items\":[{}],\"morePages\":false,\"asOf\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, kind: &str, since: u64, query: &BTreeMap<&str, &str>) -> String {
        let wait = query
            .get("waitMs")
            .and_then(|wait| wait.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            {
                let state = self.state.lock().unwrap();
                let events = state.events.iter();
                let events: Vec<&str> = events
                    .filter(|(at, of, _)| *at > since && of == kind)
                    .map(|(_, _, event)| event.as_str())
                    .collect();
                if !events.is_empty() || Instant::now() >= until {
                    return format!(
                        "{{\"events\":[{}],\"asOf\":{}}}",
                        events.join(","),
                        state.revision
                    );
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn write(&self, method: &str, kind: &str, name: &str, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else {
            return (400, "{}".into());
        };
        let metadata = body.get("metadata");
        let named = metadata
            .and_then(|metadata| metadata.get("name"))
            .and_then(Json::text);
        let name = named.unwrap_or(name).to_string();
        let base = metadata
            .and_then(|metadata| metadata.get("revision"))
            .and_then(Json::number);
        let spec = body.get("spec").cloned().unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        let known = state
            .objects
            .get(&(kind.to_string(), name.clone()))
            .cloned();
        match (method, known) {
            ("POST", None) => (200, state.put(kind, &name, spec)),
            ("POST", Some(known)) => (409, render(&name, &known)),
            ("PUT", None) => (404, "{}".into()),
            ("PUT", Some(known)) if base.is_some_and(|base| base != known.revision) => {
                (409, render(&name, &known))
            }
            ("PUT", Some(_)) => (200, state.put(kind, &name, spec)),
            _ => (405, "{}".into()),
        }
    }
}
