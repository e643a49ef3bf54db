//! The wait for a service whose targets all want nothing.

use cyc_types::Millis;

use crate::Standing;

/// When a service takes requests, as far as its targets announce it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceWait {
    /// A target may take a request now, or the service has no targets.
    Open,
    /// The first target takes requests after this time.
    Until(Millis),
    /// All targets leave; when others come is not known.
    Leaving,
}

/// Combines what the targets of a service announce, each with the time after which the limit that it
/// names, if any, allows a request.
pub fn service_wait(targets: impl IntoIterator<Item = (Standing, Option<Millis>)>) -> ServiceWait {
    let mut all = None;
    for (standing, limit_wait) in targets {
        let limit_wait = limit_wait.unwrap_or(Millis::ZERO);
        let wait = match standing {
            Standing::Leaving => ServiceWait::Leaving,
            Standing::Paused(wait) => ServiceWait::Until(wait.max(limit_wait)),
            Standing::Open if limit_wait.is_zero() => return ServiceWait::Open,
            Standing::Open => ServiceWait::Until(limit_wait),
        };
        all = Some(match (all, wait) {
            (Some(ServiceWait::Until(a)), ServiceWait::Until(b)) => ServiceWait::Until(a.min(b)),
            (Some(until @ ServiceWait::Until(_)), _) => until,
            (_, wait) => wait,
        });
    }
    all.unwrap_or(ServiceWait::Open)
}
