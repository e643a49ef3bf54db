//! What a target has announced about itself.

use cyc_types::Millis;

/// Whether requests may be sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Requests may be sent.
    Open,
    /// The target wants no requests for this long.
    Paused(Millis),
    /// The target gets no requests any more.
    Leaving,
}

/// What one run of a target has announced about itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Announcement {
    /// Invariant: never reset. Answers may overtake each other, and a target that leaves does not
    /// come back in the same run.
    is_leaving: bool,
    /// No request is sent before this time. Invariant: only increases.
    resume_at: Millis,
}

impl Announcement {
    /// Records that the target leaves. Returns true if that is new.
    pub fn leave(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Records that the target wants no requests for this long. An earlier, longer pause stays in
    /// force. Returns true if the target was not paused before.
    pub fn pause(&mut self, time: Millis, now: Millis) -> bool {
        let was_paused = self.resume_at > now;
        self.resume_at = self.resume_at.max(now + time);
        !was_paused && self.resume_at > now
    }

    /// Whether requests may be sent to the target.
    pub fn standing(&self, now: Millis) -> Standing {
        match self.resume_at.saturating_sub(now) {
            _ if self.is_leaving => Standing::Leaving,
            Millis::ZERO => Standing::Open,
            wait => Standing::Paused(wait),
        }
    }

    /// Returns true if a request may be sent to the target now.
    pub fn may_send(&self, now: Millis) -> bool {
        self.standing(now) == Standing::Open
    }

    /// Returns true if the target leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }
}
