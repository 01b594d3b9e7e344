//! Exhaustive exploration of a small model.

use std::collections::HashSet;
use std::hash::Hash;

/// Visits every state that can be reached and returns their number. `next` lists the states that
/// follow; `check` panics on a state that must not be.
pub fn explore<S: Clone + Eq + Hash>(
    initial: S,
    next: impl Fn(&S) -> Vec<S>,
    check: impl Fn(&S),
) -> usize {
    let mut seen = HashSet::new();
    let mut open = vec![initial.clone()];
    seen.insert(initial);
    while let Some(state) = open.pop() {
        check(&state);
        for following in next(&state) {
            if seen.insert(following.clone()) {
                open.push(following);
            }
        }
    }
    seen.len()
}
