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

    pub(super) fn add_user(&mut self, id: K, user: User, effects: &mut Vec<Effect<K>>) {
        let before = self.users.get(&id).cloned().unwrap_or_default();
        self.users.entry(id.clone()).or_default().insert(user);
        self.report_change(&id, &before, effects);
    }

    pub(super) fn remove_user(&mut self, id: &K, user: User, effects: &mut Vec<Effect<K>>) {
        let Some(users) = self.users.get_mut(id) else { return };
        let before = users.clone();
        users.remove(&user);
        if users.is_empty() {
            self.users.remove(id);
        }
        self.report_change(id, &before, effects);
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

    /// Reports to each link whether the id is in use on this side, if that differs from before.
    fn report_change(&self, id: &K, before: &BTreeSet<User>, effects: &mut Vec<Effect<K>>) {
        let none = BTreeSet::new();
        let after = self.users.get(id).unwrap_or(&none);
        for link in self.links.iter().copied() {
            match (concerns(before, link), concerns(after, link)) {
                (false, true) => effects.push(Effect::Send(link, Message::InUse(id.clone()))),
                (true, false) => effects.push(Effect::Send(link, Message::Released(id.clone()))),
                _ => {}
            }
        }
    }
}
