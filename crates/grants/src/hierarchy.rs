//! Order among what has parents: those without come first. Circles are left over, never walked.

use std::collections::BTreeSet;

/// The indices, each after all of its parents; those in a circle or below one are missing.
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

/// Those in a circle or below one.
pub fn in_or_below_cycle(parents: &[Vec<usize>]) -> BTreeSet<usize> {
    let mut remaining: BTreeSet<usize> = (0..parents.len()).collect();
    for item in topological_order(parents) {
        remaining.remove(&item);
    }
    remaining
}

/// How many generations stand above each; none for those in a circle or below one.
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
