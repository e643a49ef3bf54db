//! How full the link of the entry is.

use cyc_types::{DecayingSum, Millis};

/// Time constant of the measured rate: a burst is seen within a second, and single large bodies
/// count little.
const RATE_TIME: Millis = Millis::new(500);
/// Share of the capacity from which the link counts as full. Above it, queues at the sender grow: bytes
/// are counted after they have passed the link, so that the measured rate never exceeds the capacity.
const FULL_SHARE: f64 = 0.85;
/// The same while connections, answers of other entries or tasks of this one are late.
const FULL_SHARE_LATE: f64 = 0.75;
/// Share of the capacity below which an overload ends.
const FREE_SHARE: f64 = 0.7;
/// The link must be full for this long to count as overloaded.
const FULL_TIME: Millis = Millis::new(300);
/// The link must be below [`FREE_SHARE`] for this long until an overload ends.
const FREE_TIME: Millis = Millis::new(1_000);
/// A delay of this length is a sign of overload: a round trip between zones takes a few milliseconds.
const LATE: Millis = Millis::new(100);
/// How long a delay counts as a sign.
const LATE_TIME: Millis = Millis::new(2_000);
/// Headers of a packet on the link, below HTTP.
const PACKET_HEADER_BYTES: u64 = 66;
/// Bytes of HTTP in a full packet.
const PACKET_BYTES: u64 = 1_448;
/// Bytes per millisecond of 1 Mbit/s.
const BYTES_PER_MS: f64 = 125.0;

/// Direction of bytes on the link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Received by the entry.
    In,
    /// Sent by the entry.
    Out,
}

/// Capacity of a link in each direction.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkRate {
    /// Invariant: finite and above zero.
    bytes_per_ms: f64,
}

impl LinkRate {
    /// Converts a rate in Mbit/s; `None` if it is not a finite number above zero.
    pub fn from_mbps(mbps: f64) -> Option<Self> {
        let bytes_per_ms = mbps * BYTES_PER_MS;
        let is_valid = bytes_per_ms.is_finite() && bytes_per_ms > 0.0;
        is_valid.then_some(Self { bytes_per_ms })
    }

    /// Bytes that pass in a millisecond.
    pub fn bytes_per_ms(self) -> f64 {
        self.bytes_per_ms
    }
}

/// Load of the link of an entry.
#[derive(Debug)]
pub struct Link {
    rate: LinkRate,
    /// Bytes received and sent since `folded_at`.
    pending: [u64; 2],
    /// Bytes received and sent before.
    sums: [DecayingSum; 2],
    folded_at: Millis,
    late_at: Option<Millis>,
    /// Since when the link has been full.
    full_since: Option<Millis>,
    /// Since when the link has been below [`FREE_SHARE`].
    free_since: Option<Millis>,
    overloaded_since: Option<Millis>,
}

impl Link {
    /// Creates the state of an idle link.
    pub fn new(rate: LinkRate) -> Self {
        Self {
            rate,
            pending: [0; 2],
            sums: [DecayingSum::default(); 2],
            folded_at: Millis::ZERO,
            late_at: None,
            full_since: None,
            free_since: None,
            overloaded_since: None,
        }
    }

    /// Capacity of the link.
    pub fn rate(&self) -> LinkRate {
        self.rate
    }

    /// Records bytes that have passed. Only adds up; [`Link::evaluate`] does the rest.
    pub fn record(&mut self, direction: Direction, bytes: u64) {
        let packets = bytes.div_ceil(PACKET_BYTES);
        self.pending[direction as usize] += bytes + packets * PACKET_HEADER_BYTES;
    }

    /// Records how long it took to open a connection or to call another entry, or how late a task ran.
    pub fn record_delay(&mut self, delay: Millis, now: Millis) {
        if delay >= LATE {
            self.late_at = Some(now);
        }
    }

    /// Forgets the rates after the process was frozen: what had queued up meanwhile arrives at once and
    /// says nothing about the link.
    pub fn resume(&mut self, now: Millis) {
        self.pending = [0; 2];
        self.sums = [DecayingSum::default(); 2];
        self.folded_at = now;
        self.late_at = None;
        self.full_since = None;
    }

    /// Returns true if something was late recently.
    pub fn is_late(&self, now: Millis) -> bool {
        self.late_at
            .is_some_and(|at| now.saturating_sub(at) < LATE_TIME)
    }

    /// Bytes that the entry has sent within [`Link::rate_time`], at the present rate.
    pub fn sent(&self, now: Millis) -> f64 {
        self.sums[Direction::Out as usize].get(RATE_TIME, now)
    }

    /// Time constant of [`Link::sent`].
    pub fn rate_time() -> Millis {
        RATE_TIME
    }

    /// Load of the busier direction relative to its capacity.
    pub fn utilization(&self, now: Millis) -> f64 {
        let busiest = self.sums.iter().map(|sum| sum.get(RATE_TIME, now));
        let busiest = busiest.fold(0.0, f64::max);
        busiest / (RATE_TIME.get() as f64 * self.rate.bytes_per_ms)
    }

    /// Since when the link has been overloaded, as of the last evaluation.
    pub fn overloaded_since(&self) -> Option<Millis> {
        self.overloaded_since
    }

    /// Share of the capacity up to which requests are admitted.
    pub fn full_share() -> f64 {
        FULL_SHARE
    }

    /// Evaluates what was recorded since the last call. Returns true if an overload begins or ends.
    pub fn evaluate(&mut self, now: Millis) -> bool {
        if now == self.folded_at {
            return false;
        }
        self.folded_at = now;
        for (sum, pending) in self.sums.iter_mut().zip(&mut self.pending) {
            sum.add(std::mem::take(pending) as f64, RATE_TIME, now);
        }
        let utilization = self.utilization(now);
        let full_share = match self.is_late(now) {
            true => FULL_SHARE_LATE,
            false => FULL_SHARE,
        };
        let lasts = |since: Option<Millis>, least: Millis| {
            since.is_some_and(|since| now.saturating_sub(since) >= least)
        };
        let keep = |since: Option<Millis>, holds: bool| holds.then(|| since.unwrap_or(now));
        self.full_since = keep(self.full_since, utilization >= full_share);
        self.free_since = keep(self.free_since, utilization < FREE_SHARE);
        let was_overloaded = self.overloaded_since.is_some();
        if !was_overloaded && lasts(self.full_since, FULL_TIME) {
            self.overloaded_since = Some(now);
        } else if was_overloaded && lasts(self.free_since, FREE_TIME) {
            self.overloaded_since = None;
        }
        was_overloaded != self.overloaded_since.is_some()
    }
}
