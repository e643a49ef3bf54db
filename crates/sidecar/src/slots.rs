//! Sizes the slot pools: the smaller of the limits in the settings and in the configuration.

use std::sync::Arc;

use cyc_config::{Services, Slots};
use cyc_proto::sidecar::RouteClass;
use cyc_settings::SidecarLimits;
use cyc_types::Revision;
use strum::IntoEnumIterator as _;

use crate::admission::Sidecar;

/// Upper bound of the slots of a route class, from the settings.
pub const fn max_slots(limits: &SidecarLimits, class: RouteClass) -> usize {
    match class {
        RouteClass::Status => limits.status_slots,
        RouteClass::Booking => limits.booking_slots,
        RouteClass::Drafting => limits.drafting_slots,
    }
}

/// Resizes the pools whenever the configuration changes, until the process ends.
pub async fn resize_on_change(sidecar: Arc<Sidecar>, limits: SidecarLimits) {
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
            spdlog::warn!("config_read_failed", kv: {
                revision = revision.to_string(),
                error = first.unwrap_or_default(),
            });
        }
    }
}

fn resize(sidecar: &Sidecar, limits: &SidecarLimits, slots: Slots) {
    for class in RouteClass::iter() {
        let configured = usize::try_from(slots.of(class)).unwrap_or(usize::MAX);
        let effective = configured.min(max_slots(limits, class));
        sidecar.pools().of(class).resize(effective);
    }
}
