//! Whether keys of teams may be used, by the age of the configuration.

use super::state::FrontState;

impl FrontState {
    /// Whether a request with a known key may be sent to an endpoint now.
    #[allow(clippy::unused_self, reason = "no age is tracked yet")]
    pub(crate) const fn may_use_team_keys(&self) -> bool {
        true
    }

    /// Whether the configuration in force is recent enough to say that a key is unknown.
    #[allow(clippy::unused_self, reason = "no age is tracked yet")]
    pub(crate) const fn is_config_recent(&self) -> bool {
        true
    }
}
