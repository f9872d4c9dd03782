//! Models by name and alias, and the sets of models that rules name.

use std::collections::{BTreeSet, HashMap};

use crate::document::{is_pattern, matches};
use crate::sections::Catalogue;

/// A set of models, as a bit set by model index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ModelSet(Box<[u64]>);

impl ModelSet {
    /// Creates an empty set for a table of `models` models.
    pub fn empty(models: usize) -> ModelSet {
        ModelSet(vec![0; models.div_ceil(64)].into())
    }

    pub fn insert(&mut self, model: u32) {
        self.0[model as usize / 64] |= 1 << (model % 64);
    }

    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|&word| word == 0)
    }

    /// Returns the bits in words of 64 models, the lowest index in the lowest bit.
    pub fn words(&self) -> &[u64] {
        &self.0
    }

    pub fn union_with(&mut self, other: &ModelSet) {
        self.0.iter_mut().zip(&other.0).for_each(|(word, &other_word)| *word |= other_word);
    }

    pub fn intersect_with(&mut self, other: &ModelSet) {
        self.0.iter_mut().zip(&other.0).for_each(|(word, &other_word)| *word &= other_word);
    }
}

/// The models that exist in all siblings of the catalogue, and the names that refer to the same model in all
/// of them.
#[derive(Debug)]
pub struct ModelNames {
    by_name: HashMap<Box<str>, u32>,
    names: Vec<Box<str>>,
    restricted: Vec<bool>,
}

impl ModelNames {
    pub fn new(catalogues: &[Catalogue]) -> ModelNames {
        let own_names = |catalogue: &Catalogue| -> BTreeSet<String> {
            catalogue.models.iter().map(|model| model.name.clone()).collect()
        };
        let in_all =
            catalogues.iter().map(own_names).reduce(|left, right| &left & &right).unwrap_or_default();
        let names: Vec<Box<str>> = in_all.into_iter().map(String::into_boxed_str).collect();
        let index: HashMap<&str, u32> =
            names.iter().enumerate().map(|(at, name)| (&**name, at as u32)).collect();
        let mut restricted = vec![false; names.len()];
        for model in catalogues.iter().flat_map(|catalogue| &catalogue.models) {
            if let Some(&at) = index.get(model.name.as_str()) {
                restricted[at as usize] |= model.restricted;
            }
        }
        let resolved: Vec<HashMap<&str, &str>> = catalogues.iter().map(resolve_names).collect();
        let mut by_name: HashMap<Box<str>, u32> = HashMap::new();
        for (&name, &model) in resolved.first().into_iter().flatten() {
            let same_in_all = resolved.iter().all(|other| other.get(name) == Some(&model));
            if let (true, Some(&at)) = (same_in_all, index.get(model)) {
                by_name.insert(name.into(), at);
            }
        }
        ModelNames { by_name, names, restricted }
    }

    /// Returns the index of a model by its name or an alias.
    pub fn get(&self, name: &str) -> Option<u32> {
        self.by_name.get(name).copied()
    }

    pub fn name(&self, index: u32) -> Option<&str> {
        self.names.get(index as usize).map(|name| &**name)
    }

    /// Returns the models' own names, by index.
    pub fn names(&self) -> &[Box<str>] {
        &self.names
    }

    /// Returns whether the model is restricted in any sibling of the catalogue; true for an unknown index.
    pub fn restricted(&self, index: u32) -> bool {
        self.restricted.get(index as usize).copied().unwrap_or(true)
    }
}

/// Returns the model that each name refers to in one catalogue. A model's own name takes precedence over an
/// alias of another model.
fn resolve_names(catalogue: &Catalogue) -> HashMap<&str, &str> {
    let mut model_by_name = HashMap::new();
    for model in &catalogue.models {
        for alias in &model.aliases {
            model_by_name.entry(alias.as_str()).or_insert(model.name.as_str());
        }
    }
    for model in &catalogue.models {
        model_by_name.insert(model.name.as_str(), model.name.as_str());
    }
    model_by_name
}

/// Resolves the names and patterns in rules to sets of models, for one sibling of the catalogue.
pub struct ModelResolver<'a> {
    names: &'a ModelNames,
    /// The models of each group, model name and alias.
    sets: HashMap<&'a str, ModelSet>,
}

impl<'a> ModelResolver<'a> {
    pub fn new(catalogue: &'a Catalogue, names: &'a ModelNames) -> ModelResolver<'a> {
        let index: HashMap<&str, u32> =
            names.names.iter().enumerate().map(|(at, name)| (&**name, at as u32)).collect();
        let parents: HashMap<&str, &[String]> =
            catalogue.groups.iter().map(|group| (group.name.as_str(), group.groups.as_slice())).collect();
        let mut sets: HashMap<&str, ModelSet> =
            parents.keys().map(|&group| (group, ModelSet::empty(names.names.len()))).collect();
        for model in &catalogue.models {
            let Some(&at) = index.get(model.name.as_str()) else { continue };
            let mut seen: BTreeSet<&str> = BTreeSet::new();
            let mut next: Vec<&str> = model.groups.iter().map(String::as_str).collect();
            while let Some(group) = next.pop() {
                // Each group is visited once, so cycles terminate. A group that does not exist is skipped.
                if !seen.insert(group) {
                    continue;
                }
                if let Some(set) = sets.get_mut(group) {
                    set.insert(at);
                }
                next.extend(
                    parents.get(group).into_iter().flat_map(|groups| groups.iter()).map(String::as_str),
                );
            }
        }
        for (name, model) in resolve_names(catalogue) {
            if let Some(&at) = index.get(model) {
                let mut single = ModelSet::empty(names.names.len());
                single.insert(at);
                sets.insert(name, single);
            }
        }
        ModelResolver { names, sets }
    }

    /// Returns the models that any of the names and patterns refers to.
    pub fn models(&self, wanted: &[String]) -> ModelSet {
        let mut found = ModelSet::empty(self.names.names.len());
        for name in wanted {
            if is_pattern(name) {
                let all = self.names.names.iter().enumerate();
                all.filter(|(_, model)| matches(name, model)).for_each(|(at, _)| found.insert(at as u32));
            } else if let Some(set) = self.sets.get(name.as_str()) {
                found.union_with(set);
            }
        }
        found
    }
}
