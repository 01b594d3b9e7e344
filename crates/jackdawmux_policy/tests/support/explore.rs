//! Exhaustive state space exploration of a small model.

use std::collections::HashSet;
use std::hash::Hash;

/// Visits every reachable state and returns the number of states. `next` returns the successors of
/// a state; `check` panics on a state that violates an invariant.
pub fn explore<S: Clone + Eq + Hash>(
    initial: S,
    next: impl Fn(&S) -> Vec<S>,
    check: impl Fn(&S),
) -> usize {
    let mut visited = HashSet::new();
    let mut pending = vec![initial.clone()];
    visited.insert(initial);
    while let Some(state) = pending.pop() {
        check(&state);
        for successor in next(&state) {
            if visited.insert(successor.clone()) {
                pending.push(successor);
            }
        }
    }
    visited.len()
}
