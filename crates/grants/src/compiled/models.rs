//! Models by name and alias, and the sets of models that rules name.

use std::collections::{BTreeSet, HashMap};

use crate::document::{is_pattern, matches};
use crate::sections::Catalogue;

/// A bit a model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ModelSet(Box<[u64]>);

impl ModelSet {
    pub fn none(models: usize) -> ModelSet {
        ModelSet(vec![0; models.div_ceil(64)].into())
    }

    pub fn insert(&mut self, model: u32) {
        self.0[model as usize / 64] |= 1 << (model % 64);
    }

    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|&word| word == 0)
    }

    pub fn words(&self) -> &[u64] {
        &self.0
    }

    pub fn unite(&mut self, other: &ModelSet) {
        self.0.iter_mut().zip(&other.0).for_each(|(word, &more)| *word |= more);
    }

    pub fn intersect(&mut self, other: &ModelSet) {
        self.0.iter_mut().zip(&other.0).for_each(|(word, &also)| *word &= also);
    }
}

/// The models that all siblings of the catalogue know, with the names that mean the same in all of them.
#[derive(Debug)]
pub struct Names {
    by_name: HashMap<Box<str>, u32>,
    names: Vec<Box<str>>,
    restricted: Vec<bool>,
}

impl Names {
    pub fn of(catalogues: &[Catalogue]) -> Names {
        let named = |catalogue: &Catalogue| -> BTreeSet<String> {
            catalogue.models.iter().map(|model| model.name.clone()).collect()
        };
        let all = catalogues.iter().map(named).reduce(|some, more| &some & &more).unwrap_or_default();
        let names: Vec<Box<str>> = all.into_iter().map(String::into_boxed_str).collect();
        let index: HashMap<&str, u32> =
            names.iter().enumerate().map(|(at, name)| (&**name, at as u32)).collect();
        let mut restricted = vec![false; names.len()];
        for model in catalogues.iter().flat_map(|catalogue| &catalogue.models) {
            if let Some(&at) = index.get(model.name.as_str()) {
                restricted[at as usize] |= model.restricted;
            }
        }
        let meant: Vec<HashMap<&str, &str>> = catalogues.iter().map(aliases).collect();
        let mut by_name: HashMap<Box<str>, u32> = HashMap::new();
        for (&name, &model) in meant.first().into_iter().flatten() {
            let same = meant.iter().all(|other| other.get(name) == Some(&model));
            if let (true, Some(&at)) = (same, index.get(model)) {
                by_name.insert(name.into(), at);
            }
        }
        Names { by_name, names, restricted }
    }

    pub fn get(&self, name: &str) -> Option<u32> {
        self.by_name.get(name).copied()
    }

    pub fn name(&self, index: u32) -> Option<&str> {
        self.names.get(index as usize).map(|name| &**name)
    }

    pub fn names(&self) -> &[Box<str>] {
        &self.names
    }

    pub fn restricted(&self, index: u32) -> bool {
        self.restricted.get(index as usize).copied().unwrap_or(true)
    }
}

/// What each name means in one catalogue: a model's own name goes before another's alias.
fn aliases(catalogue: &Catalogue) -> HashMap<&str, &str> {
    let mut meant = HashMap::new();
    for model in &catalogue.models {
        for alias in &model.aliases {
            meant.entry(alias.as_str()).or_insert(model.name.as_str());
        }
    }
    for model in &catalogue.models {
        meant.insert(model.name.as_str(), model.name.as_str());
    }
    meant
}

/// What names and patterns of rules stand for, in one catalogue.
pub struct Resolver<'a> {
    names: &'a Names,
    sets: HashMap<&'a str, ModelSet>,
}

impl<'a> Resolver<'a> {
    pub fn of(catalogue: &'a Catalogue, names: &'a Names) -> Resolver<'a> {
        let index: HashMap<&str, u32> =
            names.names.iter().enumerate().map(|(at, name)| (&**name, at as u32)).collect();
        let above: HashMap<&str, &[String]> =
            catalogue.groups.iter().map(|group| (group.name.as_str(), group.groups.as_slice())).collect();
        let mut sets: HashMap<&str, ModelSet> =
            above.keys().map(|&group| (group, ModelSet::none(names.names.len()))).collect();
        for model in &catalogue.models {
            let Some(&at) = index.get(model.name.as_str()) else { continue };
            let mut seen: BTreeSet<&str> = BTreeSet::new();
            let mut next: Vec<&str> = model.groups.iter().map(String::as_str).collect();
            while let Some(group) = next.pop() {
                // A group that is not there holds nothing; one seen is not walked again, so circles end.
                if !seen.insert(group) {
                    continue;
                }
                if let Some(set) = sets.get_mut(group) {
                    set.insert(at);
                }
                next.extend(above.get(group).into_iter().flat_map(|up| up.iter()).map(String::as_str));
            }
        }
        for (name, model) in aliases(catalogue) {
            if let Some(&at) = index.get(model) {
                let mut one = ModelSet::none(names.names.len());
                one.insert(at);
                sets.insert(name, one);
            }
        }
        Resolver { names, sets }
    }

    /// The models that any of the names and patterns stands for.
    pub fn models(&self, wanted: &[String]) -> ModelSet {
        let mut found = ModelSet::none(self.names.names.len());
        for name in wanted {
            if is_pattern(name) {
                let all = self.names.names.iter().enumerate();
                all.filter(|(_, model)| matches(name, model)).for_each(|(at, _)| found.insert(at as u32));
            } else if let Some(set) = self.sets.get(name.as_str()) {
                found.unite(set);
            }
        }
        found
    }
}
