//! Order among what has parents: those without come first. Circles are left over, never walked.

use std::collections::BTreeSet;

/// The indices, each after all of its parents; those in a circle or below one are missing.
pub fn order(parents: &[Vec<usize>]) -> Vec<usize> {
    let mut children = vec![Vec::new(); parents.len()];
    let mut waits: Vec<usize> = parents.iter().map(Vec::len).collect();
    for (child, above) in parents.iter().enumerate() {
        for &parent in above {
            children[parent].push(child);
        }
    }
    let mut order: Vec<usize> = (0..parents.len()).filter(|&at| waits[at] == 0).collect();
    let mut next = 0;
    while next < order.len() {
        for &child in &children[order[next]] {
            waits[child] -= 1;
            if waits[child] == 0 {
                order.push(child);
            }
        }
        next += 1;
    }
    order
}

/// Those in a circle or below one.
pub fn left_over(parents: &[Vec<usize>]) -> BTreeSet<usize> {
    let mut left: BTreeSet<usize> = (0..parents.len()).collect();
    for at in order(parents) {
        left.remove(&at);
    }
    left
}

/// How many generations stand above each; none for those in a circle or below one.
pub fn depths(parents: &[Vec<usize>]) -> Vec<Option<usize>> {
    let mut depths = vec![None; parents.len()];
    for at in order(parents) {
        depths[at] =
            Some(parents[at].iter().filter_map(|&up| depths[up]).map(|up| up + 1).max().unwrap_or(0));
    }
    depths
}
