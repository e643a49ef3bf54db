//! A small deployment: a store, processes of the project with their settings, engines and clients.

use std::{
    fs,
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio, exit},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU16, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http::Conn, json::Json, store::Store};

/// Names as the platform draws them.
pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const TENANT: &str = "hule930";
pub const ENGINES: &str = "huvo11a";
pub const DESK: &str = "wuno96b";

/// The record of a case: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    since: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create() -> io::Result<Record> {
        let file = fs::File::create("record.txt")?;
        Ok(Record {
            since: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.since.elapsed().as_secs_f64();
        writeln!(self.file.lock().unwrap(), "{at:8.3} {}", text.as_ref()).ok();
    }

    /// A line that is also shown.
    pub fn show(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// True unless the case is to run without its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// A free loopback port, outside the range from which the system takes ports of connections.
fn free_port() -> io::Result<u16> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = std::process::id() as u16 % 200 * 50;
    for _ in 0..2_000 {
        let port = 20_000 + (start + NEXT.fetch_add(1, Ordering::SeqCst)) % 10_000;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return Ok(port);
        }
    }
    Err(io::Error::other("no free port"))
}

/// Processes that the case has started and not yet ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// A case that is not over by then ends its processes and fails to run.
const LIMIT: Duration = Duration::from_secs(115);

/// A process of the project. It is killed at the end of the case.
pub struct Process {
    child: Child,
}

impl Process {
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        Command::new("kill").args(["-s", name, &pid]).status().ok();
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        STARTED
            .lock()
            .unwrap()
            .retain(|pid| *pid != self.child.id());
    }
}

/// An entry and its addresses.
pub struct Entry {
    pub process: Process,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

/// Files of one run, in a temporary folder that is removed at the end.
pub struct World {
    pub record: Record,
    root: PathBuf,
    folder: PathBuf,
}

impl Drop for World {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_some() {
            let files = fs::read_dir(&self.folder).into_iter().flatten().flatten();
            for file in files.filter(|file| file.path().extension().is_some_and(|e| e == "log")) {
                fs::copy(file.path(), file.file_name()).ok();
            }
        }
        fs::remove_dir_all(&self.folder).ok();
    }
}

/// The temporary folder of this run.
fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-{}", std::process::id()))
}

/// Runs a case, and exits with 0 if it returns true (the rule held), 1 if false, 2 on an error.
pub fn run(case: impl FnOnce(&World) -> io::Result<bool>) -> ! {
    thread::spawn(|| {
        thread::sleep(LIMIT);
        for pid in STARTED.lock().unwrap().iter() {
            Command::new("kill")
                .args(["-s", "KILL", &pid.to_string()])
                .status()
                .ok();
        }
        fs::remove_dir_all(folder()).ok();
        eprintln!("the case is not over after {LIMIT:?}");
        exit(2)
    });
    let code = match World::create() {
        Ok(world) => match case(&world) {
            Ok(true) => {
                world.record.show("result: the rule held");
                0
            }
            Ok(false) => {
                world.record.show("result: the rule was broken");
                1
            }
            Err(error) => {
                world
                    .record
                    .show(format!("result: the case could not run: {error}"));
                2
            }
        },
        Err(error) => {
            eprintln!("{error}");
            2
        }
    };
    exit(code)
}

impl World {
    fn create() -> io::Result<World> {
        let root = std::env::var("REPOSITORY")
            .map_err(io::Error::other)?
            .into();
        let folder = folder();
        fs::create_dir_all(&folder)?;
        Ok(World {
            record: Record::create()?,
            root,
            folder,
        })
    }

    /// Starts a process with the command of its role in the deploy file.
    fn start(&self, name: &str, command: &str, settings: &str) -> io::Result<Process> {
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let log = fs::File::create(self.folder.join(format!("{name}.log")))?;
        let program = self.root.join(command);
        let child = Command::new(&program)
            .current_dir(&self.root)
            .env("CYCLAMENLEAD_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .map_err(|error| io::Error::other(format!("{}: {error}", program.display())))?;
        STARTED.lock().unwrap().push(child.id());
        self.record.line(format!("{name} starts: {command}"));
        Ok(Process { child })
    }

    /// Starts an entry, which reaches the store at `store` and the relays at `seeds`.
    pub fn start_entry(
        &self,
        name: &str,
        store: SocketAddr,
        seeds: &[SocketAddr],
    ) -> io::Result<Entry> {
        let ports = (0..4)
            .map(|_| free_port())
            .collect::<io::Result<Vec<u16>>>()?;
        let addr = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let listen = format!(
            "front = \"{}\"\nready = \"{}\"",
            addr(ports[0]),
            addr(ports[1])
        );
        let settings = settings(name, "edge", &ports[2..], seeds, &listen, store);
        let process = self.start(name, "target/entry/platform-entry", &settings)?;
        Ok(Entry {
            process,
            front: addr(ports[0]),
            ready: addr(ports[1]),
        })
    }

    /// Starts a relay, and returns its address for entries.
    pub fn start_relay(&self, name: &str, store: SocketAddr) -> io::Result<(Process, SocketAddr)> {
        let ports = (0..3)
            .map(|_| free_port())
            .collect::<io::Result<Vec<u16>>>()?;
        let control = SocketAddr::from(([127, 0, 0, 1], ports[0]));
        let listen = format!("control = \"{control}\"");
        let settings = settings(name, "side", &ports[1..], &[control], &listen, store);
        let process = self.start(name, "target/entry/platform-relay", &settings)?;
        Ok((process, control))
    }
}

fn settings(
    name: &str,
    class: &str,
    internal: &[u16],
    seeds: &[SocketAddr],
    listen: &str,
    store: SocketAddr,
) -> String {
    let seeds: Vec<String> = seeds.iter().map(|addr| format!("\"{addr}\"")).collect();
    let internal: Vec<String> = internal.iter().map(u16::to_string).collect();
    format!(
        r#"nodeName = "{name}"
role = "{class}"
machineClass = "{class}"
serves = ["{class}"]
ip = "127.0.0.1"
zone = "almaty-a"
region = "almaty"
internalPorts = [{}]
seeds = [{}]
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
almaty-a = "almaty"
[listen]
{listen}
[limits]
cpuShare = 0.19
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
revokePartitioned = false
revokeMs = 5000
retryRatio = 0.2
retryWindowS = 10
retryExtra = 56
recoveryS = 12
passMs = 120
retryAfterS = 9.8
settle_ms = 1500
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
"#,
        internal.join(","),
        seeds.join(","),
    )
}

impl Entry {
    /// Asks the readiness address as the platform does, until the answer is 200.
    pub fn wait_ready(&self) -> io::Result<()> {
        for _ in 0..100 {
            let asked = Conn::open(self.ready, Duration::from_secs(1))
                .and_then(|mut conn| conn.call("GET", "/api/readyz", &[("Host", "ready")], ""));
            if asked.is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            sleep_ms(100);
        }
        Err(io::Error::other("an entry is not ready after 10 s"))
    }
}

/// Registers an engine in the store.
pub fn register(store: &Store, id: &str, service: &str, addr: SocketAddr, slots: u32) {
    let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let spec = Json::obj([
        ("service", Json::str(service)),
        ("address", Json::str(addr.to_string())),
        ("zone", Json::str("almaty-a")),
        ("version", Json::str("v1")),
        ("slots", Json::num(slots)),
        ("state", Json::str("ready")),
        ("coldLeftMs", Json::num(0)),
        ("seqNo", Json::num(1)),
        ("born", Json::num(born.unwrap_or_default().as_millis())),
    ]);
    store.put("servers", id, spec);
}

/// A route of the configuration. `services` are the parts of a split with their weights.
pub fn route(
    name: &str,
    prefix: &str,
    kind: &str,
    timeout_ms: u32,
    slo_ms: u32,
    attempts: u32,
    services: &[(&str, u32)],
) -> String {
    let target = match services {
        [(service, _)] => format!("\"service\":\"{service}\""),
        split => {
            let parts = split.iter().map(|(service, weight)| {
                format!("{{\"service\":\"{service}\",\"weight\":{weight}}}")
            });
            format!("\"split\":[{}]", parts.collect::<Vec<_>>().join(","))
        }
    };
    let is_stream = kind == "streaming";
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\
         \"routeKind\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"sloMs\":{slo_ms},\"priority\":2,\
         {target},\"attempts\":{attempts},\"public\":false,\"sticky\":{is_stream},\
         \"canResume\":false,\"gapTargetMs\":500}}"
    )
}

/// A configuration with the services of the small deployment. `tenants` is JSON text.
pub fn configuration(version: u32, routes: &[String], tenants: &str) -> Json {
    let text = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"{ENGINES}\",\"healthPath\":\"/healthz\",\"maxConns\":620,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{{\"slots\":128,\"kvCapacity\":287072,\"kvBytes\":131072,\
         \"linkMbps\":280000.0,\"moves\":true,\"backups\":true,\"stride\":3,\"most\":12,\
         \"pinMs\":4000.0,\"holdMs\":2000.0,\"handleS\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"{DESK}\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\
         \"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":{tenants}}}",
        routes.join(",")
    );
    Json::parse(&text).expect("the configuration is valid JSON")
}

pub fn tenant(prepaid: u64) -> String {
    format!(
        "[{{\"name\":\"{TENANT}\",\"apiKeys\":[\"{KEY}\"],\"priority\":1,\"prepaid\":{prepaid}}}]"
    )
}
