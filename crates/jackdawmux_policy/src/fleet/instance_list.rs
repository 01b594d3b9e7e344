//! The registered instances among which limits are divided.
//!
//! Until a complete list has been read, this instance knows nothing about the number of others and
//! has no share of any limit: a whole fleet that starts could else take each limit once for each
//! instance.

use std::time::Duration;

use crate::clock::PolicyTime;

/// Names of the registered instances, and how many there were lately.
#[derive(Clone, Debug, Default)]
pub struct InstanceList {
    names: Vec<String>,
    most: usize,
    /// When there were last as many instances as `most`.
    most_at: PolicyTime,
}

impl InstanceList {
    /// Replaces the names by those of a complete list. `hold` is how long instances that are gone
    /// still count in [`InstanceList::divisor`].
    pub fn replace(&mut self, now: PolicyTime, names: Vec<String>, hold: Duration) {
        self.names = names;
        if self.names.len() >= self.most || now.since(self.most_at) > hold {
            (self.most, self.most_at) = (self.names.len(), now);
        }
    }

    /// Returns the names, including that of this instance; empty until a list has been read.
    #[must_use]
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// Returns the number by which limits over a window are divided: instances that have left lately
    /// may have used their shares in the same window. `None` until a list has been read.
    #[must_use]
    pub const fn divisor(&self) -> Option<usize> {
        if self.most == 0 { None } else { Some(self.most) }
    }
}
