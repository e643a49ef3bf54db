//! The sizes of the pools: the smaller of the settings and of the configuration.

use std::sync::Arc;

use cyc_config::{Services, Slots};
use cyc_proto::sidecar::RouteClass;
use cyc_settings::SidecarLimits;
use cyc_types::Revision;
use strum::IntoEnumIterator as _;

use crate::admission::Sidecar;

/// Returns the slots that the settings allow for a class.
pub const fn of_settings(limits: &SidecarLimits, class: RouteClass) -> usize {
    match class {
        RouteClass::Status => limits.status_slots,
        RouteClass::Booking => limits.booking_slots,
        RouteClass::Drafting => limits.drafting_slots,
    }
}

/// Follows the configuration for as long as the process runs.
pub async fn follow(sidecar: Arc<Sidecar>, limits: SidecarLimits) {
    let mut services = sidecar.services();
    loop {
        let (revision, text) = services.borrow_and_update().clone();
        if revision != Revision::ZERO {
            apply(&sidecar, &limits, revision, &text);
        }
        if services.changed().await.is_err() {
            return;
        }
    }
}

fn apply(sidecar: &Sidecar, limits: &SidecarLimits, revision: Revision, text: &str) {
    match Services::parse(text) {
        Ok(services) => {
            if let Some(target) = services.target(sidecar.target_id()) {
                resize(sidecar, limits, target.slots);
            }
        }
        Err(problems) => {
            let first = problems.first().map(ToString::to_string);
            spdlog::warn!("config_not_read", kv: {
                revision = revision.to_string(),
                problem = first.unwrap_or_default(),
            });
        }
    }
}

fn resize(sidecar: &Sidecar, limits: &SidecarLimits, slots: Slots) {
    for class in RouteClass::iter() {
        let configured = usize::try_from(slots.of(class)).unwrap_or(usize::MAX);
        let smaller = configured.min(of_settings(limits, class));
        sidecar.pools().of(class).resize(smaller);
    }
}
