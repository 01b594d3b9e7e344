//! Decides whether a request may run with the key that it carries.

use std::sync::Arc;

use jackdawmux_policy::fleet::record::{RouteRecord, TeamRecord};
use jackdawmux_policy::fleet::routing::RouteTable;

use super::refusal::FrontRefusal;
use crate::dialect::Credential;
use crate::process::FrontState;

/// What the age of the configuration allows. It is read before the configuration that it is applied
/// to. Read afterwards, it could belong to a later configuration that lacks the key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyPermission {
    /// Whether requests with known keys may be sent to endpoints.
    may_use_keys: bool,
    /// Whether a key that is not in the configuration is certainly unknown.
    is_config_recent: bool,
}

/// A request that does not run because of its key.
#[derive(Debug)]
pub(crate) struct AccessDenial {
    pub(crate) refusal: FrontRefusal,
    /// The team that holds the key, if that is known.
    pub(crate) team: Option<Arc<TeamRecord>>,
}

/// On whose behalf a request runs.
#[derive(Clone, Debug)]
pub(crate) enum RequestAccess {
    /// The configuration has no teams. The headers pass unchanged.
    NoTeams,
    /// The route is public, and the request carries no key.
    Public,
    /// The request carries a key of this team.
    Team(Arc<TeamRecord>),
}

impl KeyPermission {
    /// Reads the present permission.
    pub(crate) fn read(state: &FrontState) -> Self {
        Self { may_use_keys: state.may_use_team_keys(), is_config_recent: state.is_config_recent() }
    }
}

impl From<FrontRefusal> for Box<AccessDenial> {
    fn from(refusal: FrontRefusal) -> Self {
        Self::new(AccessDenial { refusal, team: None })
    }
}

impl RequestAccess {
    /// Decides about a request on a route.
    ///
    /// # Errors
    /// When the request must not run, or cannot be shown to be allowed.
    pub(crate) fn decide(
        permission: KeyPermission,
        table: &RouteTable,
        route: &RouteRecord,
        credential: &Credential,
    ) -> Result<Self, Box<AccessDenial>> {
        if !table.has_teams() {
            return Ok(Self::NoTeams);
        }
        let key = match credential {
            Credential::Missing if route.is_public => return Ok(Self::Public),
            Credential::Missing => return Err(FrontRefusal::MissingKey.into()),
            Credential::Malformed => return Err(FrontRefusal::MalformedKey.into()),
            Credential::Key(key) => key,
        };
        match table.find_team(key.expose()) {
            Some(team) if permission.may_use_keys => Ok(Self::Team(Arc::clone(team))),
            Some(team) => Err(Box::new(AccessDenial {
                refusal: FrontRefusal::PermissionUnknown,
                team: Some(Arc::clone(team)),
            })),
            None if permission.is_config_recent => Err(FrontRefusal::UnknownKey.into()),
            // A later configuration may contain the key.
            None => Err(FrontRefusal::PermissionUnknown.into()),
        }
    }

    /// The team of the request; none if it carries no key.
    pub(crate) fn team(&self) -> Option<&TeamRecord> {
        match self {
            Self::NoTeams | Self::Public => None,
            Self::Team(team) => Some(team),
        }
    }

    /// Whether the headers that concern teams are replaced before a request is sent to an endpoint.
    pub(crate) const fn replaces_headers(&self) -> bool {
        !matches!(self, Self::NoTeams)
    }
}
