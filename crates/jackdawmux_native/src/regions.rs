//! Regions of failure domains, read from the accepted rules.

use std::collections::BTreeMap;

use jackdawmux_rules::{RuleKind, parse_rules, render_diagnostics};
use jackdawmux_store::{ObjectStore, StoreError, read_head, read_rules};
use snafu::{ResultExt, Snafu};

/// Why the regions could not be read.
#[derive(Debug, Snafu)]
pub enum RegionsError {
    /// The object store could not be read.
    #[snafu(display("{source}"))]
    Store {
        /// Error of the store.
        source: StoreError,
    },
    /// No rules have been accepted yet.
    #[snafu(display("step=read-regions error=\"no rules are accepted yet\""))]
    NoRules,
    /// The accepted rules do not parse.
    #[snafu(display("step=read-regions error={diagnostics:?}"))]
    InvalidRules {
        /// The rendered diagnostics.
        diagnostics: String,
    },
}

/// Reads the region of each failure domain.
///
/// # Errors
/// Returns an error when the store cannot be read, no rules have been accepted yet, or the accepted
/// rules do not parse.
pub async fn read_regions(
    store: &dyn ObjectStore,
) -> Result<BTreeMap<String, String>, RegionsError> {
    let Some(stored) = read_head(store).await.context(StoreSnafu)? else {
        return NoRulesSnafu.fail();
    };
    let bytes = read_rules(store, &stored.head).await.context(StoreSnafu)?;
    let rules = parse_rules("accepted", &bytes).map_err(|diagnostics| {
        RegionsError::InvalidRules { diagnostics: render_diagnostics(&diagnostics) }
    })?;
    let mut regions = BTreeMap::new();
    for rule in rules.lines {
        if let RuleKind::Region { name, domains } = rule.kind {
            regions.extend(domains.into_iter().map(|domain| (domain, name.clone())));
        }
    }
    Ok(regions)
}
