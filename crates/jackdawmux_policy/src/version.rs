//! Guard that lets configuration versions only rise.

use strum::Display;

/// Verdict on an offered version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum VersionCheck {
    /// Higher than what is in force; compile it and put it in force.
    Newer,
    /// The version already in force.
    Same,
    /// Lower than what is in force; never used.
    Older,
    /// Equal number but other content; a restored or split store.
    Conflicting,
}

/// The version in force and its content digest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionGate {
    in_force: Option<(u64, String)>,
}

impl VersionGate {
    /// The version in force; zero before the first.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |(version, _)| *version)
    }

    /// Digest of the content in force.
    #[must_use]
    pub fn digest(&self) -> Option<&str> {
        self.in_force.as_ref().map(|(_, digest)| digest.as_str())
    }

    /// Judges an offer without taking it.
    #[must_use]
    pub fn check(&self, version: u64, digest: &str) -> VersionCheck {
        let Some((current, known)) = &self.in_force else {
            return VersionCheck::Newer;
        };
        match version.cmp(current) {
            std::cmp::Ordering::Greater => VersionCheck::Newer,
            std::cmp::Ordering::Less => VersionCheck::Older,
            std::cmp::Ordering::Equal if known == digest => VersionCheck::Same,
            std::cmp::Ordering::Equal => VersionCheck::Conflicting,
        }
    }

    /// Puts a version in force when it is newer; says whether it did.
    pub fn activate(&mut self, version: u64, digest: &str) -> bool {
        let is_newer = self.check(version, digest) == VersionCheck::Newer;
        if is_newer {
            self.in_force = Some((version, digest.to_owned()));
        }
        is_newer
    }
}
