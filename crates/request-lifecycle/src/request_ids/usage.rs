//! Which ids are in use and by whom, and the reports of changes to the processes behind links.

use std::collections::BTreeSet;

use super::{Effect, LinkId, Message, RequestIdTable, User};

/// Whether a process behind `link` has to know that the id is in use: it has a user other than that process.
fn concerns(users: &BTreeSet<User>, link: LinkId) -> bool {
    users.iter().any(|user| *user != User::Link(link))
}

impl<K: Ord + Clone> RequestIdTable<K> {
    /// Whether a user other than the process behind this link uses the id.
    pub(super) fn uses_apart_from(&self, id: &K, link: LinkId) -> bool {
        self.users.get(id).is_some_and(|users| concerns(users, link))
    }

    /// Adds a user, and reports the id as in use to each link to which it was not in use on this side before.
    pub(super) fn add_user(&mut self, id: K, user: User, effects: &mut Vec<Effect<K>>) {
        let users = self.users.entry(id.clone()).or_default();
        if !users.insert(user) {
            return;
        }
        for link in self.links.iter().copied() {
            let is_first = users.iter().all(|other| *other == user || *other == User::Link(link));
            if user != User::Link(link) && is_first {
                effects.push(Effect::Send(link, Message::InUse(id.clone())));
            }
        }
    }

    /// Removes a user, and reports the id as released to each link to which it is no longer in use on this side.
    pub(super) fn remove_user(&mut self, id: &K, user: User, effects: &mut Vec<Effect<K>>) {
        let Some(users) = self.users.get_mut(id) else { return };
        if !users.remove(&user) {
            return;
        }
        for link in self.links.iter().copied() {
            if user != User::Link(link) && !concerns(users, link) {
                effects.push(Effect::Send(link, Message::Released(id.clone())));
            }
        }
        if users.is_empty() {
            self.users.remove(id);
        }
    }

    /// Removes this user from all of its ids.
    pub(super) fn remove_user_everywhere(&mut self, user: User, effects: &mut Vec<Effect<K>>) {
        for id in self.ids_of(user) {
            self.remove_user(&id, user, effects);
        }
    }

    pub(super) fn ids_of(&self, user: User) -> Vec<K> {
        let ids = self.users.iter().filter(|(_, users)| users.contains(&user));
        ids.map(|(id, _)| id.clone()).collect()
    }
}
