//! `cyclamen status`: the state of a deployment, by the objects in the platform and the answers of
//! all registered entries.

use std::{collections::BTreeMap, fmt, net::SocketAddr, time::Duration};

use cyc_budget::Shard;
use cyc_config::part::Head;
use cyc_member::{Member, Role, list};
use cyc_proto::{
    Link,
    peer::{EntryStatus, PeerClient as _},
};
use cyc_store::{HttpPlatform, Kind, Platform, VmState};
use cyc_types::{BudgetId, Incarnation, ProcessKey, Revision, Tokens, VmId};
use serde::Serialize;

use crate::{
    flags, input,
    output::{Exit, Output},
};

/// Longest wait for the status of one entry.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Why the status cannot be collected.
pub type Error = cyc_member::Error;

/// One registered entry.
#[derive(Debug, Clone, Serialize)]
pub struct EntryRow {
    /// Its registration.
    pub member: Member,
    /// Its answer; `None` if it cannot be reached.
    pub status: Option<EntryStatus>,
    /// True if its VM is in the platform's list of VMs; a VM that has ended is not.
    pub listed: bool,
}

/// One registered sidecar.
#[derive(Debug, Clone, Serialize)]
pub struct SidecarRow {
    /// Its registration.
    pub member: Member,
    /// The largest revision that an entry saw in force at the sidecar; `None` if no entry reaches it.
    pub revision: Option<Revision>,
    /// True if an entry that reaches it sends it no new requests.
    pub draining: bool,
}

/// One open grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct GrantRow {
    /// Budget that the grant was taken from.
    pub budget: BudgetId,
    /// Incarnation of the process that holds the grant.
    pub holder: Incarnation,
    /// Tokens drawn by the holder and neither returned nor settled yet.
    pub amount: Tokens,
}

/// The state of a deployment.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// The accepted revision; zero for none.
    pub accepted: Revision,
    /// The registered entries, by VM.
    pub entries: Vec<EntryRow>,
    /// The registered sidecars, by VM.
    pub sidecars: Vec<SidecarRow>,
    /// The open grants, by budget and holder.
    pub grants: Vec<GrantRow>,
    /// VMs that the platform is about to remove.
    pub leaving: Vec<VmId>,
}

impl Status {
    /// Returns the registered entries that did not answer, and the sidecars that no entry reaches.
    pub fn unreachable(&self) -> Vec<Incarnation> {
        let entries = self.entries.iter().filter(|row| row.status.is_none());
        let sidecars = self.sidecars.iter().filter(|row| row.revision.is_none());
        let entries = entries.map(|row| row.member.incarnation());
        entries
            .chain(sidecars.map(|row| row.member.incarnation()))
            .collect()
    }

    /// Returns true if `revision` or a later one is in force at every registered entry and every
    /// reachable sidecar. An unreachable entry makes this false unless its VM has ended.
    pub fn is_in_force(&self, revision: Revision) -> bool {
        let entries = self.entries.iter().all(|row| match &row.status {
            Some(status) => status.revision >= revision,
            None => !row.listed,
        });
        let mut sidecars = self.sidecars.iter().filter_map(|row| row.revision);
        entries && sidecars.all(|in_force| in_force >= revision)
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "accepted revision {}", self.accepted)?;
        for row in &self.entries {
            let incarnation = row.member.incarnation();
            match &row.status {
                None => write!(f, "\nentry {incarnation} {} unreachable", row.member.addr)?,
                Some(status) => write!(
                    f,
                    "\nentry {incarnation} {} revision {} in flight {} idle {} reserved {} unflushed {}{}",
                    row.member.addr,
                    status.revision,
                    status.in_flight,
                    status.idle,
                    status.reserved,
                    status.unflushed,
                    if status.draining { " draining" } else { "" },
                )?,
            }
        }
        for row in &self.sidecars {
            let incarnation = row.member.incarnation();
            write!(f, "\nsidecar {incarnation} {}", row.member.addr)?;
            match row.revision {
                None => write!(f, " unreachable")?,
                Some(revision) => write!(f, " revision {revision}")?,
            }
            f.write_str(if row.draining { " draining" } else { "" })?;
        }
        for grant in &self.grants {
            let GrantRow {
                budget,
                holder,
                amount,
            } = grant;
            write!(f, "\ngrant {budget} of {holder} {amount}")?;
        }
        self.leaving
            .iter()
            .try_for_each(|vm| write!(f, "\nvm {vm} leaving"))
    }
}

/// Collects the state of a deployment and returns it as a table or as JSON.
pub async fn run(flags: &flags::Status, as_json: bool) -> Output {
    let parse = || {
        Ok((
            input::parse_platform(&flags.platform)?,
            input::read_key(&flags.key_file)?,
        ))
    };
    let (addr, key) = match parse() {
        Ok(input) => input,
        Err::<_, input::Error>(error) => return error.into(),
    };
    let status = match collect(&HttpPlatform::new(addr), &key).await {
        Ok(status) => status,
        Err(error @ Error::Platform(_)) => {
            return Output::error(Exit::Unavailable, error.to_string());
        }
        Err(error) => return Output::error(Exit::Refused, error.to_string()),
    };
    match as_json.then(|| serde_json::to_string(&status)) {
        None => Output::new(Exit::Ok, status.to_string()),
        Some(Ok(json)) => Output::new(Exit::Ok, json),
        Some(Err(error)) => Output::error(Exit::Refused, error.to_string()),
    }
}

/// Reads the objects in the platform and requests the status of every registered entry.
///
/// # Errors
/// If the platform does not answer or an object is malformed. A process that does not answer is
/// listed as unreachable.
pub async fn collect(platform: &HttpPlatform, key: &ProcessKey) -> Result<Status, Error> {
    let vms = platform.list_vms().await?;
    let members = list(platform, Role::Entry).await?;
    let requests = members.into_iter().map(|member| async {
        let status = fetch_status(member.addr, key).await;
        let listed = vms.iter().any(|vm| vm.id == member.vm);
        EntryRow {
            member,
            status,
            listed,
        }
    });
    let entries = futures::future::join_all(requests).await;
    let sidecars = list(platform, Role::Sidecar).await?;
    let sidecars = sidecars
        .into_iter()
        .map(|member| sidecar_row(member, &entries));
    let leaving = vms.iter().filter(|vm| vm.state == VmState::Leaving);
    Ok(Status {
        accepted: accepted_revision(platform).await?,
        sidecars: sidecars.collect(),
        entries,
        grants: grants(platform).await?,
        leaving: leaving.map(|vm| vm.id.clone()).collect(),
    })
}

async fn fetch_status(addr: SocketAddr, key: &ProcessKey) -> Option<EntryStatus> {
    let link = Link::new(addr, key.clone());
    let request = async { link.client().await.ok()?.status().await.ok() };
    tokio::time::timeout(STATUS_TIMEOUT, request).await.ok()?
}

fn sidecar_row(member: Member, entries: &[EntryRow]) -> SidecarRow {
    let incarnation = member.incarnation();
    let seen = entries
        .iter()
        .filter_map(|row| row.status.as_ref())
        .flat_map(|status| &status.sidecars)
        .filter(|seen| seen.reachable && seen.sidecar.as_ref() == Some(&incarnation));
    let mut row = SidecarRow {
        member,
        revision: None,
        draining: false,
    };
    for seen in seen {
        row.revision = row.revision.max(Some(seen.revision));
        row.draining |= seen.draining;
    }
    row
}

async fn accepted_revision(platform: &HttpPlatform) -> Result<Revision, Error> {
    let Some(object) = platform.get(&Head::key()).await? else {
        return Ok(Revision::ZERO);
    };
    let head: Result<Head, _> = serde_json::from_slice(&object.body);
    let head = head.map_err(|error| malformed(object.key, &error))?;
    Ok(head.revision)
}

async fn grants(platform: &HttpPlatform) -> Result<Vec<GrantRow>, Error> {
    let mut rows = BTreeMap::new();
    for object in platform.list(Kind::Budget, "shard-").await? {
        let shard: Result<Shard, _> = serde_json::from_slice(&object.body);
        let shard = shard.map_err(|error| malformed(object.key, &error))?;
        for (budget, record) in shard.budgets {
            for (holder, grant) in record.grants {
                rows.insert((budget.clone(), holder), grant.amount);
            }
        }
    }
    let row = |((budget, holder), amount)| GrantRow {
        budget,
        holder,
        amount,
    };
    Ok(rows.into_iter().map(row).collect())
}

fn malformed(key: cyc_store::ObjectKey, error: &serde_json::Error) -> Error {
    Error::Malformed {
        key,
        reason: error.to_string(),
    }
}
