//! Starts, restarts and stops the processes of a deployment, and operates it.

use std::{
    fmt, fs, io,
    net::SocketAddr,
    path::PathBuf,
    process,
    sync::atomic::{AtomicU16, AtomicU64, Ordering},
    time::Duration,
};

use cyc_budget::{Payment, SHARDS, top_up};
use cyc_cli::status::{self, EntryRow, Status};
use cyc_config::{Document, HasRevision as _, store};
use cyc_ledger::report;
use cyc_member::Member;
use cyc_proto::peer::EntryStatus;
use cyc_standin::{
    client::Client,
    process::{Process, Signal},
    relay::TcpRelay,
};
use cyc_store::HttpPlatform;
use cyc_types::{Clock, Millis, ProcessKey, Revision, Tokens};
use http::Method;
use serde_json::json;

use crate::{
    caller::Caller,
    layout::{self, DocumentError, Layout, PROCESS_KEY, TargetKind},
};

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time after which waiting for a condition fails.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

/// Error from starting or operating a deployment.
#[derive(Debug)]
pub enum Error {
    /// File or socket error.
    Io(io::Error),
    /// A process could not be started, signalled or waited for.
    Process(cyc_standin::process::Error),
    /// A request got no answer.
    Client(cyc_standin::client::Error),
    /// The configuration document could not be built.
    Document(DocumentError),
    /// An operation failed or was refused, for the reason given.
    Refused(String),
    /// A condition does not hold, or was not met in time.
    Condition(&'static str),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => error.fmt(f),
            Self::Process(error) => error.fmt(f),
            Self::Client(error) => error.fmt(f),
            Self::Document(error) => write!(f, "invalid configuration document: {error:?}"),
            Self::Refused(why) => write!(f, "operation refused: {why}"),
            Self::Condition(what) => write!(f, "condition not met: {what}"),
        }
    }
}

impl std::error::Error for Error {}

macro_rules! from_error {
    ($($variant:ident($error:ty)),*) => {$(
        impl From<$error> for Error {
            fn from(error: $error) -> Self {
                Self::$variant(error)
            }
        }
    )*};
}
from_error!(
    Io(io::Error),
    Process(cyc_standin::process::Error),
    Client(cyc_standin::client::Error),
    Document(DocumentError)
);

/// One target with its sidecar.
#[derive(Debug)]
pub struct TargetHandle {
    /// Kind of the target.
    pub kind: TargetKind,
    /// Index among the targets of its kind.
    pub number: usize,
    /// Process of the target.
    pub target: Process,
    /// Process of the sidecar; `None` while it is stopped.
    pub sidecar: Option<Process>,
    /// Listening address of the sidecar, kept across restarts.
    pub addr: SocketAddr,
    /// Relay between the entries and the sidecar.
    pub relay: TcpRelay,
    /// Relay between the sidecar and the platform.
    pub platform_relay: TcpRelay,
}

/// One entry.
#[derive(Debug)]
pub struct EntryHandle {
    /// Process of the entry; `None` while it is stopped.
    pub process: Option<Process>,
    /// Listening address for callers, kept across restarts.
    pub addr: SocketAddr,
    /// Relay between the entry and the platform.
    pub platform_relay: TcpRelay,
}

/// A running deployment. Dropping it kills all its processes.
#[derive(Debug)]
pub struct Deployment {
    /// Layout for the configuration document and for processes that are started again.
    pub layout: Layout,
    /// Process that stands in for the platform.
    pub platform: Process,
    /// Targets with their sidecars, engines first.
    pub targets: Vec<TargetHandle>,
    /// Entries in the order of their numbers.
    pub entries: Vec<EntryHandle>,
    dir: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // Best effort: the files are small and in the temporary directory.
        fs::remove_dir_all(&self.dir).ok();
    }
}

/// # Start
impl Deployment {
    /// Starts all processes, submits the configuration document and waits until the entries are
    /// ready.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn start(layout: Layout) -> Result<Self, Error> {
        static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("cyclamenlead-{}-{number}", process::id()));
        fs::create_dir_all(&dir)?;
        let platform = Process::start("standin-platform", &[])?;
        let mut deployment = Self {
            layout,
            platform,
            targets: Vec::new(),
            entries: Vec::new(),
            dir,
        };
        for number in 0..deployment.layout.engines {
            deployment.add_target(TargetKind::Engine, number).await?;
        }
        for number in 0..deployment.layout.service_instances {
            deployment.add_target(TargetKind::Service, number).await?;
        }
        deployment.submit().await?;
        for number in 0..deployment.layout.entries {
            deployment.add_entry(number).await?;
        }
        let all: Vec<usize> = (0..deployment.entries.len()).collect();
        deployment.set_vms(&all).await?;
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    async fn add_target(&mut self, kind: TargetKind, number: usize) -> Result<(), Error> {
        let args: Vec<&str> = self.layout.engine_args.iter().map(String::as_str).collect();
        let target = match kind {
            TargetKind::Engine => Process::start("standin-engine", &args)?,
            TargetKind::Service => Process::start("standin-service", &[])?,
        };
        let platform_relay = TcpRelay::start(self.platform.addr()).await?;
        let text = self.sidecar_settings(
            kind,
            number,
            &target,
            &platform_relay,
            unique_loopback_addr(),
        );
        let sidecar = self
            .start_daemon("sidecar", &target_name(kind, number), &text)
            .await?;
        let addr = sidecar.addr();
        let relay = TcpRelay::start(addr).await?;
        let sidecar = Some(sidecar);
        self.targets.push(TargetHandle {
            kind,
            number,
            target,
            sidecar,
            addr,
            relay,
            platform_relay,
        });
        Ok(())
    }

    async fn add_entry(&mut self, number: usize) -> Result<(), Error> {
        let platform_relay = TcpRelay::start(self.platform.addr()).await?;
        let text = self.entry_settings(number, &platform_relay, unique_loopback_addr());
        let process = self
            .start_daemon("entry", &format!("entry-{number}"), &text)
            .await?;
        let addr = process.addr();
        self.entries.push(EntryHandle {
            process: Some(process),
            addr,
            platform_relay,
        });
        Ok(())
    }

    /// Starts a daemon from another thread: it needs the relays, which run on this one.
    async fn start_daemon(
        &self,
        program: &'static str,
        name: &str,
        text: &str,
    ) -> Result<Process, Error> {
        let path = self.dir.join(format!("{name}.ini"));
        fs::write(&path, text)?;
        let starting = tokio::task::spawn_blocking(move || {
            Process::start(program, &[&path.to_string_lossy()])
        });
        Ok(starting.await.map_err(io::Error::other)??)
    }

    fn sidecar_settings(
        &self,
        kind: TargetKind,
        number: usize,
        target: &Process,
        platform_relay: &TcpRelay,
        addr: SocketAddr,
    ) -> String {
        let name = target_name(kind, number);
        let kind = match kind {
            TargetKind::Engine => "engine",
            TargetKind::Service => "service",
        };
        let mut lines = vec![
            ("process", format!("vm = vm-{name}")),
            ("process", format!("zone = {}", layout::zone(number))),
            ("process", format!("target = {name}")),
            ("process", format!("rpc_addr = {addr}")),
            ("process", String::from("log_level = warn")),
            ("platform", format!("addr = {}", platform_relay.addr())),
            ("access", format!("process_key = {PROCESS_KEY}")),
            ("target", format!("addr = {}", target.addr())),
            ("target", format!("kind = {kind}")),
            ("target", String::from("load_ms = 100")),
        ];
        lines.extend(self.layout.sidecar_settings.iter().cloned());
        layout::settings_text(&lines)
    }

    fn entry_settings(&self, number: usize, platform_relay: &TcpRelay, addr: SocketAddr) -> String {
        let mut lines = vec![
            ("process", format!("vm = vm-entry-{number}")),
            ("process", format!("zone = {}", layout::zone(number))),
            ("process", format!("caller_addr = {addr}")),
            ("process", String::from("peer_addr = 127.0.0.2:0")),
            ("process", String::from("log_level = warn")),
            ("platform", format!("addr = {}", platform_relay.addr())),
            ("access", format!("process_key = {PROCESS_KEY}")),
            ("ledger", String::from("flush_ms = 100")),
        ];
        lines.extend(self.layout.entry_settings.iter().cloned());
        layout::settings_text(&lines)
    }
}

/// Loopback address that no other daemon uses, with port 0. Outgoing connections come from
/// 127.0.0.1 and other daemons have other addresses, so the port stays free during most restarts.
fn unique_loopback_addr() -> SocketAddr {
    static NEXT_HOST: AtomicU16 = AtomicU16::new(1);
    let [high, low] = NEXT_HOST.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    ([127, 1, high, low], 0).into()
}

fn target_name(kind: TargetKind, number: usize) -> String {
    match kind {
        TargetKind::Engine => format!("engine-{number}"),
        TargetKind::Service => format!("desk-{number}"),
    }
}

/// # Restart
impl Deployment {
    /// Starts the sidecar of a target at its previous address.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn restart_sidecar(&mut self, index: usize) -> Result<(), Error> {
        let handle = &self.targets[index];
        let text = self.sidecar_settings(
            handle.kind,
            handle.number,
            &handle.target,
            &handle.platform_relay,
            handle.addr,
        );
        let name = target_name(handle.kind, handle.number);
        self.targets[index].sidecar = Some(self.restart_daemon("sidecar", &name, &text).await?);
        Ok(())
    }

    /// Starts an entry at its previous address.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn restart_entry(&mut self, index: usize) -> Result<(), Error> {
        let handle = &self.entries[index];
        let text = self.entry_settings(index, &handle.platform_relay, handle.addr);
        let process = self
            .restart_daemon("entry", &format!("entry-{index}"), &text)
            .await?;
        self.entries[index].process = Some(process);
        Ok(())
    }

    /// Starts a daemon at its previous address. Retries while the port is in use: an outgoing
    /// connection of any process may have been assigned the port in the meantime.
    async fn restart_daemon(
        &self,
        program: &'static str,
        name: &str,
        text: &str,
    ) -> Result<Process, Error> {
        let starting = async {
            loop {
                match self.start_daemon(program, name, text).await {
                    Err(Error::Process(cyc_standin::process::Error::UnexpectedFirstLine(_))) => {
                        tokio::time::sleep(POLL_INTERVAL).await;
                    }
                    started => return started,
                }
            }
        };
        let started = tokio::time::timeout(CONDITION_TIMEOUT, starting).await;
        started.map_err(|_| Error::Condition("the previous address is free"))?
    }

    /// Sends a signal to an entry.
    ///
    /// # Errors
    /// If the entry is not running.
    pub fn signal_entry(&self, index: usize, signal: Signal) -> Result<(), Error> {
        let process = self.entries[index].process.as_ref();
        Ok(process
            .ok_or(Error::Condition("the entry is running"))?
            .signal(signal)?)
    }

    /// Sends a signal to the sidecar of a target.
    ///
    /// # Errors
    /// If the sidecar is not running.
    pub fn signal_sidecar(&self, index: usize, signal: Signal) -> Result<(), Error> {
        let process = self.targets[index].sidecar.as_ref();
        Ok(process
            .ok_or(Error::Condition("the sidecar is running"))?
            .signal(signal)?)
    }
}

/// # Shutdown
impl Deployment {
    /// Stops the entries and then the sidecars gracefully.
    ///
    /// # Errors
    /// If a process cannot be stopped or exits with failure.
    pub async fn stop(&mut self) -> Result<(), Error> {
        let entries: Vec<Process> = self
            .entries
            .iter_mut()
            .filter_map(|handle| handle.process.take())
            .collect();
        stop_all(entries).await?;
        let sidecars: Vec<Process> = self
            .targets
            .iter_mut()
            .filter_map(|handle| handle.sidecar.take())
            .collect();
        stop_all(sidecars).await
    }
}

/// # Shutdown of one process, and status
impl Deployment {
    /// Stops an entry gracefully and waits for it to exit.
    ///
    /// # Errors
    /// If it is not running or exits with failure.
    pub async fn stop_entry(&mut self, index: usize) -> Result<(), Error> {
        let process = self.entries[index].process.take();
        stop_all(vec![
            process.ok_or(Error::Condition("the entry is running"))?,
        ])
        .await
    }

    /// Stops the sidecar of a target gracefully and waits for it to exit.
    ///
    /// # Errors
    /// If it is not running or exits with failure.
    pub async fn stop_sidecar(&mut self, index: usize) -> Result<(), Error> {
        let process = self.targets[index].sidecar.take();
        stop_all(vec![
            process.ok_or(Error::Condition("the sidecar is running"))?,
        ])
        .await
    }

    /// Waits until every registered entry and sidecar answers under its latest registration, is not
    /// draining and has the accepted configuration in force.
    ///
    /// # Errors
    /// [`Error::Condition`] if that is not so within a minute.
    pub async fn wait_in_service(&self) -> Result<(), Error> {
        wait_until(
            "all processes are in service with the accepted configuration",
            || async {
                self.status().await.is_ok_and(|status| {
                    let draining = status.sidecars.iter().any(|row| row.draining);
                    let is_in_service = |row: &EntryRow| {
                        row.status.as_ref().is_some_and(|entry| {
                            let current = entry.entry == row.member.incarnation();
                            current && !entry.draining && reaches_all_sidecars(entry, &status)
                        })
                    };
                    !draining && status.entries.iter().all(is_in_service)
                })
            },
        )
        .await
    }

    /// Collects the state of the deployment as `cyclamen status` does.
    ///
    /// # Errors
    /// If the platform does not answer.
    pub async fn status(&self) -> Result<Status, Error> {
        let key: ProcessKey = PROCESS_KEY
            .parse()
            .map_err(|error| Error::Refused(format!("{error}")))?;
        let status = status::collect(&self.platform_client(), &key).await;
        status.map_err(|error| Error::Refused(error.to_string()))
    }
}

/// Whether an entry has the accepted configuration and reaches every registered sidecar, none of
/// which is draining or has an older configuration.
fn reaches_all_sidecars(entry: &EntryStatus, status: &Status) -> bool {
    let reached = |member: &Member| {
        entry.sidecars.iter().any(|link| {
            let current = link.sidecar.as_ref() == Some(&member.incarnation());
            current && link.reachable && !link.draining && link.revision >= status.accepted
        })
    };
    let sidecars = status.sidecars.iter().all(|row| reached(&row.member));
    entry.revision >= status.accepted && sidecars
}

async fn stop_all(processes: Vec<Process>) -> Result<(), Error> {
    for process in &processes {
        process.signal(Signal::Term)?;
    }
    let waiting = tokio::task::spawn_blocking(move || {
        let mut clean = true;
        for mut process in processes {
            clean &= process.wait()?;
        }
        Ok::<bool, Error>(clean)
    });
    match waiting.await.map_err(io::Error::other)?? {
        true => Ok(()),
        false => Err(Error::Condition("all stopped processes exit with success")),
    }
}

/// # Operators and callers
impl Deployment {
    /// Replaces the platform's VM list by the VMs of all targets and of the given entries.
    ///
    /// # Errors
    /// If the platform stand-in does not answer.
    pub async fn set_vms(&self, entries: &[usize]) -> Result<(), Error> {
        let vm = |name: String, number| {
            let zone = layout::zone(number);
            json!({ "id": format!("vm-{name}"), "zone": zone, "ip": "127.0.0.1", "state": "live" })
        };
        let targets = self.targets.iter();
        let targets =
            targets.map(|handle| vm(target_name(handle.kind, handle.number), handle.number));
        let entries = entries.iter().map(|n| vm(format!("entry-{n}"), *n));
        let vms: Vec<_> = targets.chain(entries).collect();
        let admin = self.platform_admin();
        admin.send_json(Method::PUT, "/admin/vms", &vms).await?;
        Ok(())
    }

    /// Creates a client of the platform that bypasses the relays.
    pub fn platform_client(&self) -> HttpPlatform {
        HttpPlatform::new(self.platform.addr()).with_timeout(Millis::new(5_000))
    }

    /// Creates a client of the platform stand-in's admin interface.
    pub fn platform_admin(&self) -> Client {
        Client::new(self.platform.addr())
    }

    /// Creates a caller of an account that sends to an entry.
    pub fn caller(&self, entry: usize, account: &str) -> Caller {
        Caller::new(self.entries[entry].addr, account)
    }

    /// Builds the configuration document with the addresses of the sidecars or their relays.
    ///
    /// # Errors
    /// If the document is not valid.
    pub fn document(&self) -> Result<Document, Error> {
        let addrs = |kind| -> Vec<SocketAddr> {
            let handles = self.targets.iter().filter(|handle| handle.kind == kind);
            let addr = |handle: &TargetHandle| match self.layout.bypass_relays {
                true => handle.addr,
                false => handle.relay.addr(),
            };
            handles.map(addr).collect()
        };
        let (engines, service_instances) = (addrs(TargetKind::Engine), addrs(TargetKind::Service));
        Ok(layout::document(
            &self.layout,
            &engines,
            &service_instances,
        )?)
    }

    /// Submits the configuration document and returns its revision.
    ///
    /// # Errors
    /// If the document is invalid or refused.
    pub async fn submit(&self) -> Result<Revision, Error> {
        let doc = self.document()?;
        store::submit(&self.platform_client(), &doc, None)
            .await
            .map_err(|error| Error::Refused(error.to_string()))
    }

    /// Pays tokens into the budget of an account. Repeating a payment with the same id has no
    /// effect.
    ///
    /// # Errors
    /// If the payment is refused.
    pub async fn top_up(&self, account: &str, id: &str, tokens: u64) -> Result<(), Error> {
        let refused = |why: String| Error::Refused(why);
        let payment = Payment {
            budget: account.parse().map_err(|_| refused(account.to_owned()))?,
            account: account.parse().map_err(|_| refused(account.to_owned()))?,
            id: id.into(),
            tokens: Tokens::new(tokens),
            at: Clock::System.wall_time(),
        };
        let paid = top_up(&self.platform_client(), SHARDS, payment).await;
        paid.map(drop)
            .map_err(|error| Error::Refused(format!("{error:?}")))
    }

    /// Spend report formatted as a table.
    ///
    /// # Errors
    /// If the platform's objects cannot be read.
    pub async fn spend_report(&self) -> Result<String, Error> {
        let objects = report::collect(&self.platform_client())
            .await
            .map_err(|error| Error::Refused(error.to_string()))?;
        Ok(report::report(&objects).to_string())
    }

    /// Waits until every running entry is ready with the accepted configuration and reaches every
    /// running sidecar.
    ///
    /// # Errors
    /// [`Error::Condition`] if that is not so within a minute.
    pub async fn wait_ready(&self) -> Result<(), Error> {
        let snapshot = store::load(&self.platform_client(), None)
            .await
            .map_err(|error| Error::Refused(format!("{error:?}")))?
            .ok_or(Error::Condition("a configuration document is accepted"))?;
        let revision = snapshot.revision();
        for handle in self
            .entries
            .iter()
            .filter(|handle| handle.process.is_some())
        {
            let client = Client::new(handle.addr);
            wait_until("every entry is ready with all sidecars", || async {
                let ready = client.get("/readyz").await;
                let text = ready.map(|answer| answer.text).unwrap_or_default();
                let running = self
                    .targets
                    .iter()
                    .filter(|handle| handle.sidecar.is_some())
                    .count();
                text.trim() == format!("ready revision={revision} sidecars={running}")
            })
            .await?;
        }
        Ok(())
    }
}

/// Waits until a condition holds.
///
/// # Errors
/// [`Error::Condition`] if it does not hold within a minute.
pub async fn wait_until<F>(what: &'static str, mut holds: impl FnMut() -> F) -> Result<(), Error>
where
    F: Future<Output = bool>,
{
    let waiting = async {
        while !holds().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let waited = tokio::time::timeout(CONDITION_TIMEOUT, waiting).await;
    waited.map_err(|_| Error::Condition(what))
}
