//! Guard that allows only increasing configuration versions.

use strum::Display;

/// Result of the check of an offered version against the active one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum VersionCheck {
    /// Higher than the active version; compile and activate it.
    Newer,
    /// The version and content that are already active.
    Same,
    /// Lower than the active version; never used.
    Older,
    /// Same version number with other content, as after a store was restored or split.
    Conflicting,
}

/// The active version and the digest of its content.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionGate {
    active: Option<(u64, String)>,
}

impl VersionGate {
    /// The active version; zero before the first activation.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.active.as_ref().map_or(0, |(version, _)| *version)
    }

    /// Digest of the active content.
    #[must_use]
    pub fn digest(&self) -> Option<&str> {
        self.active.as_ref().map(|(_, digest)| digest.as_str())
    }

    /// Checks an offered version without activating it.
    #[must_use]
    pub fn check(&self, version: u64, digest: &str) -> VersionCheck {
        let Some((current, active_digest)) = &self.active else {
            return VersionCheck::Newer;
        };
        match version.cmp(current) {
            std::cmp::Ordering::Greater => VersionCheck::Newer,
            std::cmp::Ordering::Less => VersionCheck::Older,
            std::cmp::Ordering::Equal if active_digest == digest => VersionCheck::Same,
            std::cmp::Ordering::Equal => VersionCheck::Conflicting,
        }
    }

    /// Activates a version if it is newer; returns whether it did.
    pub fn activate(&mut self, version: u64, digest: &str) -> bool {
        let is_newer = self.check(version, digest) == VersionCheck::Newer;
        if is_newer {
            self.active = Some((version, digest.to_owned()));
        }
        is_newer
    }
}
