//! The state of a deployment: what is accepted, and what every registered process says of itself.

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

/// How long one entry is waited for.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);

/// Why there is no status at all.
pub type Error = cyc_member::Error;

/// One registered entry.
#[derive(Debug, Clone, Serialize)]
pub struct EntryRow {
    /// The registration.
    pub member: Member,
    /// What it answered; `None` if it cannot be reached.
    pub status: Option<EntryStatus>,
    /// True if the VM list has its VM. A VM that is gone is not in the list.
    pub listed: bool,
}

/// One registered sidecar.
#[derive(Debug, Clone, Serialize)]
pub struct SidecarRow {
    /// The registration.
    pub member: Member,
    /// The largest revision that an entry has seen in force there; `None` if no entry reaches it.
    pub revision: Option<Revision>,
    /// True if it takes no new work.
    pub draining: bool,
}

/// One open grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct GrantRow {
    /// The budget.
    pub budget: BudgetId,
    /// The holder.
    pub holder: Incarnation,
    /// What it may still spend.
    pub amount: Tokens,
}

/// The state of a deployment.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// The revision that is accepted; zero for none.
    pub accepted: Revision,
    /// The registered entries, by VM.
    pub entries: Vec<EntryRow>,
    /// The registered sidecars, by VM.
    pub sidecars: Vec<SidecarRow>,
    /// The open grants.
    pub grants: Vec<GrantRow>,
    /// VMs that the VM list calls leaving.
    pub leaving: Vec<VmId>,
}

impl Status {
    /// Returns the registered entries and the sidecars that cannot be reached.
    pub fn unreachable(&self) -> Vec<Incarnation> {
        let entries = self.entries.iter().filter(|row| row.status.is_none());
        let sidecars = self.sidecars.iter().filter(|row| row.revision.is_none());
        let entries = entries.map(|row| row.member.incarnation());
        entries
            .chain(sidecars.map(|row| row.member.incarnation()))
            .collect()
    }

    /// Returns true if every registered entry and every reachable sidecar is at `revision`. An
    /// entry that is out of reach counts unless its VM is gone.
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
            let who = row.member.incarnation();
            match &row.status {
                None => write!(f, "\nentry {who} {} unreachable", row.member.addr)?,
                Some(status) => write!(
                    f,
                    "\nentry {who} {} revision {} in flight {} idle {} reserved {} unflushed {}{}",
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
            let who = row.member.incarnation();
            write!(f, "\nsidecar {who} {}", row.member.addr)?;
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

/// Prints the state of a deployment.
pub async fn print(flags: &flags::Status, as_json: bool) -> Output {
    let read = || {
        Ok((
            input::platform(&flags.platform)?,
            input::key_file(&flags.key_file)?,
        ))
    };
    let (addr, key) = match read() {
        Ok(read) => read,
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

/// Reads the platform's objects and asks every registered entry.
///
/// # Errors
/// If the platform gives no answer; a process without an answer is listed as unreachable.
pub async fn collect(platform: &HttpPlatform, key: &ProcessKey) -> Result<Status, Error> {
    let vms = platform.vms().await?;
    let members = list(platform, Role::Entry).await?;
    let asked = members.into_iter().map(|member| async {
        let status = ask(member.addr, key).await;
        let listed = vms.iter().any(|vm| vm.id == member.vm);
        EntryRow {
            member,
            status,
            listed,
        }
    });
    let entries = futures::future::join_all(asked).await;
    let sidecars = list(platform, Role::Sidecar).await?;
    let sidecars = sidecars.into_iter().map(|member| row_of(member, &entries));
    let leaving = vms.iter().filter(|vm| vm.state == VmState::Leaving);
    Ok(Status {
        accepted: accepted(platform).await?,
        sidecars: sidecars.collect(),
        entries,
        grants: grants(platform).await?,
        leaving: leaving.map(|vm| vm.id.clone()).collect(),
    })
}

async fn ask(addr: SocketAddr, key: &ProcessKey) -> Option<EntryStatus> {
    let link = Link::new(addr, key.clone());
    let asking = async { link.client().await.ok()?.status().await.ok() };
    tokio::time::timeout(ASK_TIMEOUT, asking).await.ok()?
}

fn row_of(member: Member, entries: &[EntryRow]) -> SidecarRow {
    let me = member.incarnation();
    let seen = entries
        .iter()
        .filter_map(|row| row.status.as_ref())
        .flat_map(|status| &status.sidecars)
        .filter(|seen| seen.reachable && seen.sidecar.as_ref() == Some(&me));
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

async fn accepted(platform: &HttpPlatform) -> Result<Revision, Error> {
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
        why: error.to_string(),
    }
}
