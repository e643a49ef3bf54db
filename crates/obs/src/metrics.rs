//! Metrics in the statsd format: sent over UDP, or counted or aggregated in the process.

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

/// The prefix of all metric names.
pub const PREFIX: &str = "cyclamenlead";

/// The number of times that each metric was emitted, by name.
#[derive(Debug, Clone, Default)]
pub struct EmitCounts(Arc<Mutex<BTreeMap<SmolStr, u64>>>);

impl EmitCounts {
    /// Returns the number of times that the metric `name` (without [`PREFIX`]) was emitted.
    pub fn get(&self, name: &str) -> u64 {
        let counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        counts.get(name).copied().unwrap_or_default()
    }

    /// Returns the names without [`PREFIX`], and the number of times that each was emitted.
    pub fn all(&self) -> BTreeMap<SmolStr, u64> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

impl MetricSink for EmitCounts {
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
    counts: EmitCounts,
    registry: Registry,
}

impl Metrics {
    /// Creates a client that sends metrics to `addr`, or only counts them if there is no address.
    ///
    /// # Errors
    /// The error of creating the UDP socket.
    pub fn new(addr: Option<SocketAddr>) -> io::Result<Self> {
        let counts = EmitCounts::default();
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

    /// Creates a client that aggregates metrics in the process, to be read by [`Metrics::render`].
    pub fn new_aggregating() -> Self {
        let registry = Registry::default();
        let client = StatsdClient::from_sink(PREFIX, registry.clone());
        Self {
            client: Arc::new(client),
            counts: EmitCounts::default(),
            registry,
        }
    }

    /// Returns the aggregated metrics as text; empty unless created by
    /// [`Metrics::new_aggregating`].
    pub fn render(&self) -> String {
        self.registry.render()
    }

    /// Returns the emit counts; empty if the metrics are sent or aggregated.
    pub fn counts(&self) -> &EmitCounts {
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
