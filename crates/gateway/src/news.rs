//! What entries tell each other about targets, because each learns only from its own requests.
//!
//! News spread without a fixed order or a coordinator. An entry that learns something sends it to
//! [`FANOUT`] others at once, which do the same; besides, each entry compares all that it knows with
//! one other entry every [`INTERVAL`], which reaches those that were cut off, frozen or not yet
//! started. Everything that is exchanged can be merged in any order and any number of times.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use cyc_signal::{KnownLeaving, LeavingReport};
use cyc_types::{Millis, VmId};
use rand::{Rng, seq::IndexedRandom as _};
use serde::{Deserialize, Deserializer, Serialize, de::DeserializeOwned};
use serde_json::value::RawValue;
use smol_str::SmolStr;

use crate::{
    crash::{CrashEvidence, CrashReport, CrashTime},
    limit::{KnownLimits, LimitReport},
    member::TargetIncarnation,
};

/// Entries that are told news at once.
pub const FANOUT: usize = 4;
/// Time between two comparisons with another entry.
pub const INTERVAL: Millis = Millis::SECOND;
/// News of this time are sent together.
pub const BATCH_TIME: Millis = Millis::new(20);

/// Something that entries tell each other.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Crashes of targets.
    #[serde(default, deserialize_with = "readable_items")]
    pub crashes: Vec<CrashReport>,
    /// Limits that targets name.
    #[serde(default, deserialize_with = "readable_items")]
    pub limits: Vec<LimitReport>,
    /// Targets that leave.
    #[serde(default, deserialize_with = "readable_items")]
    pub leaving: Vec<LeavingReport<TargetIncarnation>>,
}

/// Decodes the items of a list one by one and leaves out those that cannot be read, so that an entry
/// of another version, or a faulty one, hides no other news.
fn readable_items<'de, D: Deserializer<'de>, T: DeserializeOwned>(
    deserializer: D,
) -> Result<Vec<T>, D::Error> {
    let items = Vec::<Box<RawValue>>::deserialize(deserializer)?;
    let decode = |item: &RawValue| {
        serde_json::from_str(item.get())
            .map_err(|error| {
                spdlog::warn!("news_item_unreadable", kv: { error = error.to_string() });
            })
            .ok()
    };
    Ok(items.iter().filter_map(|item| decode(item)).collect())
}

impl News {
    /// Returns true if there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.limits.is_empty() && self.leaving.is_empty()
    }
}

/// A message to another entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NewsMessage {
    /// Key of the receiver.
    pub key: SmolStr,
    /// The sender.
    pub from: VmId,
    /// News for the receiver.
    pub news: News,
    /// What the sender knows. Without it no reply is wanted.
    pub digest: Option<Digest>,
}

/// What an entry knows, in short.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Equal for entries that know the same.
    pub fingerprint: u64,
    /// When the known crashes happened.
    #[serde(default, deserialize_with = "readable_items")]
    pub crash_times: Vec<CrashTime>,
}

/// The reply to a message.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct NewsReply {
    /// Everything that the receiver knows, if the sender knows something else.
    pub news: News,
    /// What the receiver knows.
    pub digest: Digest,
}

/// Everything that an entry has learnt and tells the others.
#[derive(Debug, Default)]
pub struct Knowledge {
    /// Crashes of targets, and the prompt parts refused because of them.
    pub crashes: CrashEvidence,
    /// Limits that targets name.
    pub limits: KnownLimits,
    /// Targets that leave. How long a target wants no requests is not told: it says so to one entry
    /// only.
    pub leaving: KnownLeaving<TargetIncarnation>,
}

impl Knowledge {
    /// Adds news of another entry.
    pub fn merge(&mut self, news: News, now: Millis) {
        self.crashes.merge(news.crashes, now);
        self.limits.merge(&news.limits, now);
        self.leaving.merge(&news.leaving, now);
    }

    /// News since the last call, for other entries.
    pub fn take_news(&mut self, now: Millis) -> News {
        News {
            crashes: self.crashes.take_news(now),
            limits: self.limits.take_news(now),
            leaving: self.leaving.take_news(now),
        }
    }

    /// Everything that is known.
    pub fn all(&self, now: Millis) -> News {
        News {
            crashes: self.crashes.reports(now),
            limits: self.limits.reports(now),
            leaving: self.leaving.reports(now),
        }
    }

    /// What is known, in short.
    pub fn digest(&self, now: Millis) -> Digest {
        Digest {
            fingerprint: self.fingerprint(),
            crash_times: self.crashes.times(now),
        }
    }

    /// Merges a message, and returns the reply.
    pub fn answer(&mut self, news: News, digest: Option<&Digest>, now: Millis) -> NewsReply {
        self.merge(news, now);
        let Some(digest) = digest else {
            return NewsReply::default();
        };
        self.crashes.merge_times(&digest.crash_times, now);
        let own = self.digest(now);
        let news = match own.fingerprint == digest.fingerprint {
            true => News::default(),
            false => self.all(now),
        };
        NewsReply { news, digest: own }
    }

    /// Merges the reply of an entry to a comparison, and returns what that entry does not know.
    pub fn accept(&mut self, reply: NewsReply, now: Millis) -> News {
        self.merge(reply.news, now);
        self.crashes.merge_times(&reply.digest.crash_times, now);
        match reply.digest.fingerprint == self.fingerprint() {
            true => News::default(),
            false => self.all(now),
        }
    }

    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.crashes.fingerprint().hash(&mut hasher);
        for (target, limit) in self.limits.iter() {
            (target, limit.get().to_bits()).hash(&mut hasher);
        }
        for target in self.leaving.iter() {
            target.hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Forgets what is out of date. Returns true if there was any crash.
    pub fn expire(&mut self, now: Millis) -> bool {
        self.limits.expire(now);
        self.leaving.expire(now);
        self.crashes.expire(now)
    }
}

/// Selects up to `count` of the other entries at random.
pub fn select<'a, T>(peers: &'a [T], count: usize, rng: &mut impl Rng) -> Vec<&'a T> {
    peers.sample(rng, count).collect()
}
