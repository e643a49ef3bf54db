//! The project's programs as separate processes.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{http, record::Record};

/// Free ports of one entry.
#[derive(Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub metrics: u16,
}

/// Reserves free ports; the two internal ones follow each other.
pub fn free_ports() -> io::Result<Ports> {
    let port = || -> io::Result<u16> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        Ok(listener.local_addr()?.port())
    };
    loop {
        let metrics = port()?;
        if metrics == u16::MAX || TcpListener::bind(("127.0.0.1", metrics + 1)).is_err() {
            continue;
        }
        return Ok(Ports {
            front: port()?,
            ready: port()?,
            control: port()?,
            metrics,
        });
    }
}

/// An entry, which can be started again with the same settings.
pub struct Entry {
    pub front: SocketAddr,
    ready: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    /// Holds the process id while the entry runs.
    pid: PathBuf,
    child: Option<Child>,
    name: String,
    record: Record,
}

impl Entry {
    pub fn new(
        name: &str,
        program: &Path,
        folder: &Path,
        store: SocketAddr,
        record: Record,
    ) -> io::Result<Self> {
        let ports = free_ports()?;
        let text = settings(name, ports, store);
        let path = folder.join(format!("{name}.toml"));
        fs::write(&path, text)?;
        Ok(Self {
            front: SocketAddr::from(([127, 0, 0, 1], ports.front)),
            ready: SocketAddr::from(([127, 0, 0, 1], ports.ready)),
            program: program.into(),
            settings: path,
            log: folder.join(format!("{name}.log")),
            pid: folder.join(format!("{name}.pid")),
            child: None,
            name: name.into(),
            record,
        })
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .env_clear()
            .env("CYCLAMENLEAD_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(&format!("platform: starts {}", self.name));
        let id = child.id().to_string();
        self.child = Some(child);
        fs::write(&self.pid, id)
    }

    /// Waits until the entry says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let second = Duration::from_secs(1);
            let got = http::call(
                self.ready,
                "GET",
                "/api/readyz",
                &[("Host", "x")],
                b"",
                second,
            );
            if got.status == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends SIGTERM with the command that each shell has built in.
    pub fn terminate(&mut self) -> Result<(), String> {
        let child = self.child.as_ref().ok_or("the entry does not run")?;
        self.record
            .line(&format!("platform: SIGTERM to {}", self.name));
        let command = format!("kill -TERM {}", child.id());
        let status = Command::new("sh").args(["-c", &command]).status();
        match status {
            Ok(status) if status.success() => Ok(()),
            _ => Err("SIGTERM could not be sent".into()),
        }
    }

    /// Waits for the end of the process, and kills it after `grace`.
    pub fn wait_end(&mut self, grace: Duration) {
        let until = Instant::now() + grace;
        let Some(child) = &mut self.child else {
            return;
        };
        while Instant::now() < until {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.record
                    .line(&format!("platform: {} has ended", self.name));
                self.child = None;
                fs::remove_file(&self.pid).ok();
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
        self.record
            .line(&format!("platform: SIGKILL to {}", self.name));
        child.kill().ok();
        child.wait().ok();
        self.child = None;
        fs::remove_file(&self.pid).ok();
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            child.kill().ok();
            child.wait().ok();
            fs::remove_file(&self.pid).ok();
        }
    }
}

fn settings(name: &str, ports: Ports, store: SocketAddr) -> String {
    let Ports {
        front,
        ready,
        control,
        metrics,
    } = ports;
    let peers = metrics + 1;
    format!(
        r#"nodeName = "{name}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "kr-central-a"
region = "kr-central"
internalPorts = [{metrics},{peers}]
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
kr-central-a = "kr-central"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[limits]
cpuShare = 0.19
cores = 1
memoryMb = 110
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
retryExtra = 52
recoveryS = 12
passMs = 120
retryAfterS = 6.5
settle_ms = 1500
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
"#
    )
}
