//! Metrics in the statsd form, sent over UDP or counted in the process.

use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket},
    ops::Deref,
    sync::{Arc, Mutex, PoisonError},
};

use cadence::{MetricSink, StatsdClient, UdpMetricSink};
use smol_str::SmolStr;

use crate::registry::Registry;

/// The first part of every metric's name.
pub const PREFIX: &str = "cyclamenlead";

/// How often each metric was emitted, by name.
#[derive(Debug, Clone, Default)]
pub struct Counts(Arc<Mutex<BTreeMap<SmolStr, u64>>>);

impl Counts {
    /// Returns how often the metric called `name`, without the prefix, was emitted.
    pub fn get(&self, name: &str) -> u64 {
        let counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        counts.get(name).copied().unwrap_or_default()
    }

    /// Returns all names with their counts.
    pub fn all(&self) -> BTreeMap<SmolStr, u64> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

impl MetricSink for Counts {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let name = metric.split(':').next().unwrap_or_default();
        let name = name
            .strip_prefix(PREFIX)
            .unwrap_or(name)
            .trim_start_matches('.');
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(name.into()).or_default() += 1;
        Ok(metric.len())
    }
}

/// The client that emits the metrics of a process.
#[derive(Debug, Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    counts: Counts,
    registry: Registry,
}

impl Metrics {
    /// Creates a client that sends to `addr`, or counts in the process if there is none.
    ///
    /// # Errors
    /// The error of the socket.
    pub fn new(addr: Option<SocketAddr>) -> io::Result<Self> {
        let counts = Counts::default();
        let client = match addr {
            Some(addr) => StatsdClient::from_sink(PREFIX, udp_sink(addr)?),
            None => StatsdClient::from_sink(PREFIX, counts.clone()),
        };
        Ok(Self {
            client: Arc::new(client),
            counts,
            registry: Registry::default(),
        })
    }

    /// Creates a client that keeps sums and histograms in the process, for [`Metrics::render`].
    pub fn new_registry() -> Self {
        let registry = Registry::default();
        let client = StatsdClient::from_sink(PREFIX, registry.clone());
        Self {
            client: Arc::new(client),
            counts: Counts::default(),
            registry,
        }
    }

    /// Returns the metrics as text; empty unless they are kept in the process.
    pub fn render(&self) -> String {
        self.registry.render()
    }

    /// Returns the counts; they stay empty while metrics are sent.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }
}

impl Deref for Metrics {
    type Target = StatsdClient;

    fn deref(&self) -> &StatsdClient {
        &self.client
    }
}

fn udp_sink(addr: SocketAddr) -> io::Result<UdpMetricSink> {
    let local: SocketAddr = match addr {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    UdpMetricSink::from(addr, socket).map_err(io::Error::other)
}
