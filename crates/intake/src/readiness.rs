//! Whether the entry leaves the platform's rotation for a while.

use cyc_types::Millis;
use strum::{Display, IntoStaticStr};

/// The entry must be overloaded for this long: a burst has then lasted about a second. Each further
/// delay may cost a whole second, until the next check of the platform.
const OVERLOAD_TIME: Millis = Millis::new(200);
/// Entries that must run: another one has to take the load.
const LEAST_ENTRIES: usize = 2;
/// Least time out of rotation; the platform needs two seconds to notice.
const LEAST_AWAY: Millis = Millis::new(3_000);
/// The least time doubles with each repetition, up to this.
const MOST_AWAY: Millis = Millis::new(12_000);
/// Least time in rotation between two absences.
const LEAST_READY: Millis = Millis::new(10_000);
/// An absence that begins within this time after the last one is a repetition.
const REPEAT_TIME: Millis = Millis::new(60_000);
/// Time out of rotation that a new process may spend.
const FIRST_ALLOWANCE: f64 = 6_000.0;
/// Upper bound of the saved time out of rotation.
const MOST_ALLOWANCE: f64 = 30_000.0;
/// Share of the time that may be spent out of rotation; the platform tolerates an eighth.
const ALLOWANCE_SHARE: f64 = 1.0 / 16.0;
/// Time until the platform has taken the entry out of rotation: two checks, one each second.
const ROTATION_TIME: Millis = Millis::new(2_500);
/// New connections after [`ROTATION_TIME`] and [`CONNECTION_MARGIN`] that show that the platform has not
/// taken the entry out of rotation. Some callers connect late.
const CONNECTIONS: u32 = 8;
/// Connections that were under way when the entry left the rotation arrive within this time.
const CONNECTION_MARGIN: Millis = Millis::new(500);
/// After the platform kept the entry in rotation, it stays ready for this long: too many entries are
/// overloaded.
const GENERAL_TIME: Millis = Millis::new(60_000);
/// Share of the answers that close their connection, at first and after each further second.
const CLOSE_SHARE_STEP: f64 = 0.05;
/// Upper bound of that share.
const MOST_CLOSE_SHARE: f64 = 0.5;

/// Why an entry is ready again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ReturnReason {
    /// The overload is over.
    Recovered,
    /// The entry may not be away for longer.
    AllowanceUsed,
    /// The platform routes new connections here nevertheless, since too few entries are ready.
    KeptInRotation,
    /// No other entry runs any more.
    Alone,
}

/// Whether the entry reports itself ready, as far as its load is concerned.
#[derive(Debug)]
pub struct Readiness {
    away_since: Option<Millis>,
    least_away: Millis,
    returned_at: Option<Millis>,
    /// No absence before this time.
    held_until: Millis,
    /// Milliseconds that may be spent out of rotation.
    allowance: f64,
    allowance_at: Option<Millis>,
    connections: u32,
}

impl Default for Readiness {
    fn default() -> Self {
        Self {
            away_since: None,
            least_away: LEAST_AWAY,
            returned_at: None,
            held_until: Millis::ZERO,
            allowance: FIRST_ALLOWANCE,
            allowance_at: None,
            connections: 0,
        }
    }
}

impl Readiness {
    /// Since when the entry has reported itself not ready.
    pub fn away_since(&self) -> Option<Millis> {
        self.away_since
    }

    /// Records a new connection of a caller.
    pub fn record_connection(&mut self, now: Millis) {
        let least = ROTATION_TIME + CONNECTION_MARGIN;
        if self
            .away_since
            .is_some_and(|since| now.saturating_sub(since) >= least)
        {
            self.connections += 1;
        }
    }

    fn update_allowance(&mut self, now: Millis) {
        let elapsed = self.allowance_at.map(|at| now.saturating_sub(at).get());
        let elapsed = elapsed.unwrap_or(0) as f64;
        self.allowance_at = Some(now);
        self.allowance += elapsed * ALLOWANCE_SHARE;
        if self.away_since.is_some() {
            self.allowance -= elapsed;
        }
        self.allowance = self.allowance.clamp(0.0, MOST_ALLOWANCE);
    }

    /// Leaves the rotation if the overload lasts and one account is its cause, which `is_local`
    /// finds out. Returns true if it does.
    pub fn leave(
        &mut self,
        overloaded_since: Option<Millis>,
        entries: usize,
        is_local: impl FnOnce() -> bool,
        now: Millis,
    ) -> bool {
        self.update_allowance(now);
        let lasts =
            overloaded_since.is_some_and(|since| now.saturating_sub(since) >= OVERLOAD_TIME);
        let is_repeated = self
            .returned_at
            .is_some_and(|at| now.saturating_sub(at) < REPEAT_TIME);
        let least_away = match is_repeated {
            true => (self.least_away + self.least_away).min(MOST_AWAY),
            false => LEAST_AWAY,
        };
        let may_leave = self.away_since.is_none()
            && lasts
            && entries >= LEAST_ENTRIES
            && now >= self.held_until
            && self.allowance >= least_away.get() as f64;
        if !may_leave || !is_local() {
            return false;
        }
        self.least_away = least_away;
        self.away_since = Some(now);
        self.connections = 0;
        true
    }

    /// Returns to the rotation if it is time for that, and how long the entry was away.
    pub fn come_back(
        &mut self,
        is_overloaded: bool,
        entries: usize,
        now: Millis,
    ) -> Option<(ReturnReason, Millis)> {
        self.update_allowance(now);
        let away = now.saturating_sub(self.away_since?);
        let reason = if entries < LEAST_ENTRIES {
            ReturnReason::Alone
        } else if self.connections >= CONNECTIONS {
            self.held_until = now + GENERAL_TIME;
            ReturnReason::KeptInRotation
        } else if self.allowance <= 0.0 {
            ReturnReason::AllowanceUsed
        } else if !is_overloaded && away >= self.least_away {
            ReturnReason::Recovered
        } else {
            return None;
        };
        self.held_until = self.held_until.max(now + LEAST_READY);
        self.away_since = None;
        self.returned_at = Some(now);
        Some((reason, away))
    }

    /// Share of the answers that close their connections. Zero until the platform routes new connections
    /// elsewhere; small at first, so that callers do not all move at once.
    pub fn close_share(&self, now: Millis) -> f64 {
        let Some(since) = self.away_since else {
            return 0.0;
        };
        let away = now.saturating_sub(since);
        if away < ROTATION_TIME {
            return 0.0;
        }
        let seconds = away.saturating_sub(ROTATION_TIME).get() / 1_000;
        (CLOSE_SHARE_STEP * (seconds + 1) as f64).min(MOST_CLOSE_SHARE)
    }
}
