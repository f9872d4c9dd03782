//! Topological order of items with parents. Each item is an index, and `parents[i]` holds the parents of item
//! `i`.
//!
//! Items in a cycle, or below one, are left out of the order and never visited, so every function terminates.
//! Used for teams and groups, by document validation and by the compiler.

use std::collections::BTreeSet;

/// Returns the indices so that each one comes after all of its parents. Items in a cycle or below one are
/// missing.
pub fn topological_order(parents: &[Vec<usize>]) -> Vec<usize> {
    let mut children = vec![Vec::new(); parents.len()];
    let mut unplaced_parents: Vec<usize> = parents.iter().map(Vec::len).collect();
    for (child, own_parents) in parents.iter().enumerate() {
        for &parent in own_parents {
            children[parent].push(child);
        }
    }
    let mut order: Vec<usize> = (0..parents.len()).filter(|&item| unplaced_parents[item] == 0).collect();
    let mut next = 0;
    while next < order.len() {
        for &child in &children[order[next]] {
            unplaced_parents[child] -= 1;
            if unplaced_parents[child] == 0 {
                order.push(child);
            }
        }
        next += 1;
    }
    order
}

/// Returns the items in a cycle or below one.
pub fn in_or_below_cycle(parents: &[Vec<usize>]) -> BTreeSet<usize> {
    let mut remaining: BTreeSet<usize> = (0..parents.len()).collect();
    for item in topological_order(parents) {
        remaining.remove(&item);
    }
    remaining
}

/// Returns the number of generations above each item; `None` for items in a cycle or below one.
pub fn depths(parents: &[Vec<usize>]) -> Vec<Option<usize>> {
    let mut depths = vec![None; parents.len()];
    for item in topological_order(parents) {
        depths[item] = Some(
            parents[item]
                .iter()
                .filter_map(|&parent| depths[parent])
                .map(|depth| depth + 1)
                .max()
                .unwrap_or(0),
        );
    }
    depths
}
