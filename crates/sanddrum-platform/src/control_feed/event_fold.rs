//! Events of the feed reduced to their result, so that a long history takes no more memory than the workers that it
//! leaves.

use super::{FeedEvent, Member, MembershipUpdate};
use sanddrum_wire::Phase;
use std::collections::{BTreeMap, BTreeSet};

/// What the router knows before the events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FoldBase {
    /// No workers: those that the events remove again are forgotten.
    Nothing,
    /// A list of workers: a worker that is removed by the events may be one of them.
    EndpointList,
}

/// The result of the events for one worker.
struct FoldedMember {
    member: Member,
    /// The number of the last event that changed it, and the position of the change among all.
    changed_by: u64,
    order: usize,
    /// The number of the last event that removed it, if any did.
    removed_by: Option<u64>,
}

/// Events reduced to their result: the last state of each worker, and whether it was removed before.
pub(crate) struct EventFold {
    base: FoldBase,
    members: BTreeMap<String, FoldedMember>,
    /// The number of the last full snapshot among the events.
    last_snapshot: Option<u64>,
    last_number: u64,
    changes: usize,
}

impl EventFold {
    pub fn new(base: FoldBase) -> Self {
        EventFold {
            base,
            members: BTreeMap::new(),
            last_snapshot: None,
            last_number: 0,
            changes: 0,
        }
    }

    /// Adds the next event.
    pub fn add(&mut self, event: FeedEvent) {
        self.last_number = self.last_number.max(event.number);
        let Some(update) = event.members else { return };
        if update.is_full_snapshot {
            self.remove_unlisted(event.number, &update.members);
        }
        for member in update.members {
            self.change(event.number, member);
        }
        if update.is_full_snapshot {
            self.last_snapshot = Some(event.number);
        }
    }

    fn remove_unlisted(&mut self, number: u64, listed: &[Member]) {
        let listed: BTreeSet<&str> = listed
            .iter()
            .map(|member| member.endpoint.name.as_str())
            .collect();
        if self.base == FoldBase::Nothing {
            self.members
                .retain(|name, _| listed.contains(name.as_str()));
            return;
        }
        for (name, folded) in &mut self.members {
            if !listed.contains(name.as_str()) {
                folded.member.endpoint.phase = Phase::Gone;
                folded.changed_by = number;
                folded.removed_by = Some(number);
            }
        }
    }

    fn change(&mut self, number: u64, member: Member) {
        let name = member.endpoint.name.clone();
        let is_gone = member.endpoint.phase == Phase::Gone;
        if is_gone && self.base == FoldBase::Nothing {
            self.members.remove(&name);
            return;
        }
        self.changes += 1;
        let removed_before = match self.members.get(&name) {
            Some(known) => known.removed_by,
            None => self.removed_by_last_snapshot(),
        };
        let folded = FoldedMember {
            member,
            changed_by: number,
            order: self.changes,
            removed_by: if is_gone {
                Some(number)
            } else {
                removed_before
            },
        };
        self.members.insert(name, folded);
    }

    /// The last full snapshot before the current event, which removed a worker that it did not list.
    fn removed_by_last_snapshot(&self) -> Option<u64> {
        self.last_snapshot
            .filter(|_| self.base == FoldBase::EndpointList)
    }

    /// The result of the events with numbers above `known_number`: first the workers that were removed and listed again,
    /// as removed, then the last state of each worker, in the order of the last changes.
    pub fn finish(self, known_number: u64) -> Vec<FeedEvent> {
        let number = self.last_number;
        let is_full_snapshot = self
            .last_snapshot
            .is_some_and(|snapshot| snapshot > known_number);
        let mut changed: Vec<FoldedMember> = self
            .members
            .into_values()
            .filter(|folded| folded.changed_by > known_number)
            .collect();
        changed.sort_by_key(|folded| folded.order);
        let removed: Vec<Member> = changed
            .iter()
            .filter(|folded| folded.removed_by.is_some_and(|by| by > known_number))
            .filter(|folded| folded.member.endpoint.phase != Phase::Gone)
            .map(|folded| removal_of(&folded.member))
            .collect();
        let members = changed
            .into_iter()
            .map(|folded| folded.member)
            .filter(|member| !is_full_snapshot || member.endpoint.phase != Phase::Gone)
            .collect();
        let event = |is_full_snapshot, members| FeedEvent {
            number,
            members: Some(MembershipUpdate {
                is_full_snapshot,
                members,
            }),
        };
        let mut events = Vec::new();
        if !removed.is_empty() {
            events.push(event(false, removed));
        }
        if number > known_number {
            events.push(event(is_full_snapshot, members));
        }
        events
    }
}

/// The removal of a worker.
fn removal_of(member: &Member) -> Member {
    let mut removal = Member::default();
    removal.endpoint.name = member.endpoint.name.clone();
    removal.endpoint.age_us = member.endpoint.age_us;
    removal.endpoint.phase = Phase::Gone;
    removal
}
