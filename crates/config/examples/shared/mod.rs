//! Builds and prints the example documents.

use std::{error::Error, net::SocketAddr, process::ExitCode};

use cyc_config::{
    Account, ApiKey, Builder, Document, EngineState, Objective, Problem, Service, Slots, Target,
};
use cyc_proto::sidecar::RouteClass;
use cyc_types::{AvailabilityZone, Millis, ModelId, ServiceId};

const HOUR: Millis = Millis::new(3_600_000);

/// Slots of each engine.
pub const ENGINE_SLOTS: Slots = Slots {
    status: 8,
    booking: 0,
    drafting: 16,
};
/// Slots of each instance of a plain service.
pub const DESK_SLOTS: Slots = Slots {
    status: 32,
    booking: 8,
    drafting: 0,
};

/// The targets of one service, distributed over availability zones.
#[derive(Debug)]
pub struct Fleet<'a> {
    /// Prefix of the targets' ids and VMs, which end in a number from 1.
    pub name: &'a str,
    /// The service that they serve.
    pub service: ServiceId,
    /// Number of targets.
    pub count: u8,
    /// Third octet of their IP addresses.
    pub subnet: u8,
    /// The availability zones, assigned in rotation.
    pub zones: &'a [&'a str],
    /// Slots of each target.
    pub slots: Slots,
    /// Models that each engine loads; empty for plain services.
    pub models: Vec<ModelId>,
}

impl Fleet<'_> {
    /// Creates the targets.
    ///
    /// # Errors
    /// If a name is not a valid id.
    pub fn targets(&self) -> Result<Vec<Target>, Box<dyn Error>> {
        let zones = self.zones.iter().cycle();
        (1..=self.count)
            .zip(zones)
            .map(|(n, zone)| self.target(n, zone))
            .collect()
    }

    fn target(&self, n: u8, zone: &str) -> Result<Target, Box<dyn Error>> {
        let name = format!("{}-{n}", self.name);
        let zone: AvailabilityZone = zone.parse()?;
        let addr = SocketAddr::from(([10, 20, self.subnet, n], 7100));
        let target = Target::new(
            name.parse()?,
            self.service.clone(),
            (name.parse()?, zone),
            addr,
        )
        .with_slots(self.slots);
        if self.models.is_empty() {
            return Ok(target);
        }
        let engine = EngineState {
            models: self.models.clone(),
            ..EngineState::default()
        };
        Ok(target
            .with_engine(engine)
            .with_checks_fencing(n.is_multiple_of(2)))
    }
}

/// Builds a document of services, targets, accounts by name and share, and one objective per class.
pub fn build(
    services: Vec<Service>,
    fleets: &[Fleet<'_>],
    accounts: &[(&str, u32)],
) -> Result<Result<Document, Vec<Problem>>, Box<dyn Error>> {
    let mut builder = Builder::new();
    for service in services {
        builder = builder.with_service(service);
    }
    for fleet in fleets {
        for target in fleet.targets()? {
            builder = builder.with_target(target);
        }
    }
    for (name, share) in accounts {
        let account = Account::new(name.parse()?)
            .with_share(*share)
            .with_budget(name.parse()?)
            .with_key(ApiKey::new(
                &format!("example-key-of-{name}"),
                name.parse()?,
            ));
        builder = builder.with_account(account);
    }
    let objectives = [
        (RouteClass::Status, Millis::new(250), 0.999),
        (RouteClass::Booking, Millis::new(2_000), 0.99),
        (RouteClass::Drafting, Millis::new(3_000), 0.95),
    ];
    for (class, latency_ms, share) in objectives {
        let objective = Objective {
            class,
            latency_ms,
            share,
            window_ms: HOUR,
        };
        builder = builder.with_objective(objective);
    }
    Ok(builder.build())
}

/// Prints the document to stdout, or its problems to stderr.
pub fn print(built: Result<Document, Vec<Problem>>) -> ExitCode {
    match built {
        Ok(doc) => {
            println!("{}", doc.to_json());
            ExitCode::SUCCESS
        }
        Err(problems) => {
            problems.iter().for_each(|problem| eprintln!("{problem}"));
            ExitCode::FAILURE
        }
    }
}
