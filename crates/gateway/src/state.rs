//! State shared by all requests and background tasks of an entry, which runs on a single thread.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use cyc_obs::Metrics;
use cyc_types::{ClientAccountId, Clock, Millis, VmId};
use tokio::sync::{Notify, watch};

use crate::{
    choose,
    config::Configuration,
    control::Links,
    daemon::Settings,
    fleet::Fleet,
    member::Members,
    peers::Peers,
    repeat::Repeats,
    share::{Role, Wallet},
    stop::Stop,
};

/// The state of one entry.
pub struct State<W> {
    /// VM of this entry.
    pub vm: VmId,
    /// Protocol of callers and targets.
    pub wire: W,
    /// Time source of the entry.
    pub clock: Clock,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The active configuration.
    pub config: RefCell<Option<Rc<Configuration>>>,
    /// The list of targets.
    pub members: RefCell<Members>,
    /// The list of targets was read at least once.
    pub members_known: Cell<bool>,
    /// State of the targets.
    pub fleet: RefCell<Fleet>,
    /// The other entries.
    pub peers: RefCell<Peers>,
    /// Connections to the other entries.
    pub links: RefCell<Links>,
    /// Prepaid tokens allocated to this entry.
    pub wallet: RefCell<Wallet>,
    /// Consecutive failed calls for shared token records.
    pub shares_failures: Cell<u32>,
    /// Requests an immediate round of reads and writes of the shared records.
    pub draw_wanted: Notify,
    /// Requests an immediate heartbeat of this entry.
    pub sign_wanted: Notify,
    /// Requests loans from other entries.
    pub loan_wanted: Notify,
    /// Notified when the allocations change.
    pub wallet_changed: Notify,
    /// Retry budget.
    pub repeats: RefCell<Repeats>,
    /// The shutdown in progress, if any.
    pub stopping: watch::Sender<Option<Stop>>,
    /// Requests in flight.
    pub in_flight: Cell<u32>,
}

impl<W> State<W> {
    /// Creates the initial state of an entry.
    pub fn new(wire: W, settings: &Settings, start: u64, metrics: Metrics) -> Self {
        Self {
            vm: settings.vm.clone(),
            wire,
            clock: Clock::System,
            metrics,
            config: RefCell::new(None),
            members: RefCell::new(Members::new()),
            members_known: Cell::new(false),
            fleet: RefCell::new(
                Fleet::new(settings.zone.clone(), choose::Options::default())
                    .with_entry(&settings.vm),
            ),
            peers: RefCell::new(Peers::new(settings.vm.clone(), start)),
            links: RefCell::default(),
            wallet: RefCell::new(Wallet::new(settings.vm.clone(), start)),
            shares_failures: Cell::new(0),
            draw_wanted: Notify::new(),
            sign_wanted: Notify::new(),
            loan_wanted: Notify::new(),
            wallet_changed: Notify::new(),
            repeats: RefCell::new(Repeats::new(settings.repeats)),
            stopping: watch::Sender::new(None),
            in_flight: Cell::new(0),
        }
    }

    /// Current time of the monotonic clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns true if the platform may route callers to this entry.
    pub fn is_ready(&self) -> bool {
        self.config.borrow().is_some() && self.members_known.get() && !self.is_stopping()
    }

    /// Returns true once the shutdown signal has arrived.
    pub fn is_stopping(&self) -> bool {
        self.stopping.borrow().is_some()
    }

    /// Number of running entries, including this one.
    pub fn entries(&self) -> usize {
        self.peers.borrow().running()
    }

    /// Role of this entry for an account.
    pub fn role(&self, account: &ClientAccountId) -> Role {
        match self.peers.borrow().is_home(account) {
            true => Role::Home,
            false => Role::Guest,
        }
    }

    /// Passes the changed list of targets to the fleet.
    pub fn refresh_fleet(&self) {
        let members = self.members.borrow();
        self.fleet.borrow_mut().set(members.records(), self.now());
    }
}
