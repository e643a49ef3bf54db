//! What all requests and controllers of one entry share. An entry runs on one thread.

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
    /// This entry's VM.
    pub vm: VmId,
    /// The protocol of callers and targets.
    pub wire: W,
    /// The clock.
    pub clock: Clock,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The configuration in force.
    pub config: RefCell<Option<Rc<Configuration>>>,
    /// The list of targets.
    pub members: RefCell<Members>,
    /// True once the list was read.
    pub members_known: Cell<bool>,
    /// What is known of the targets.
    pub fleet: RefCell<Fleet>,
    /// The other entries.
    pub peers: RefCell<Peers>,
    /// Connections to the other entries.
    pub links: RefCell<Links>,
    /// Prepaid tokens held here.
    pub wallet: RefCell<Wallet>,
    /// Calls for shared records that failed since the last one that was answered.
    pub shares_failures: Cell<u32>,
    /// Asks for a look at the shared records at once.
    pub draw_wanted: Notify,
    /// Asks for a new sign of this entry at once.
    pub sign_wanted: Notify,
    /// Asks for loans of other entries.
    pub loan_wanted: Notify,
    /// The wallet has changed.
    pub wallet_changed: Notify,
    /// Repeats sent.
    pub repeats: RefCell<Repeats>,
    /// The planned stop, from its signal on.
    pub stopping: watch::Sender<Option<Stop>>,
    /// Requests in flight.
    pub in_flight: Cell<u32>,
}

impl<W> State<W> {
    /// Creates the state of an entry that knows nothing yet.
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

    /// Returns the time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns true if the platform may send callers here.
    pub fn is_ready(&self) -> bool {
        self.config.borrow().is_some() && self.members_known.get() && !self.is_stopping()
    }

    /// Returns true from the signal to stop on.
    pub fn is_stopping(&self) -> bool {
        self.stopping.borrow().is_some()
    }

    /// Returns the number of running entries, with this one.
    pub fn entries(&self) -> usize {
        self.peers.borrow().running()
    }

    /// Returns what this entry does for an account.
    pub fn role(&self, account: &ClientAccountId) -> Role {
        match self.peers.borrow().is_home(account) {
            true => Role::Home,
            false => Role::Guest,
        }
    }

    /// Hands the list of targets to the fleet after a change.
    pub fn refresh_fleet(&self) {
        let members = self.members.borrow();
        self.fleet.borrow_mut().set(members.records(), self.now());
    }
}
