//! Positions in the history of the update source, and the topics that are followed there.

use std::fmt;

use strum::{Display, EnumCount, EnumIter, IntoStaticStr};

/// Kinds of updates; each is listed and watched separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum WatchTopic {
    /// The operator's configuration.
    Config,
    /// Registered endpoints.
    Endpoints,
    /// Failure domains that are being evacuated.
    Evacuations,
    /// Instances of this system.
    Instances,
}

/// Position in the history of the update source.
///
/// The era rises each time the source comes back from an older copy. Revisions of different eras
/// belong to different histories, so a position of a later era is always the newer one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourcePosition {
    /// Number of times that the source has come back from a copy.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}

impl SourcePosition {
    /// Returns a position in the first era.
    #[must_use]
    pub const fn first_era(revision: u64) -> Self {
        Self { era: 0, revision }
    }
}

impl fmt::Display for SourcePosition {
    /// Writes the revision, preceded by the era if the source has ever come back from a copy.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(formatter, "{}", self.revision),
            era => write!(formatter, "{era}.{}", self.revision),
        }
    }
}
