//! Regions of failure domains, as the accepted rules state them.

use std::collections::BTreeMap;

use jackdawmux_rules::{RuleKind, parse_rules, render_diagnostics};
use jackdawmux_store::{ObjectStore, StoreError, read_head, read_rules};
use snafu::{ResultExt, Snafu};

/// Why the regions are not known.
#[derive(Debug, Snafu)]
pub enum RegionsError {
    /// The store did not answer.
    #[snafu(display("{source}"))]
    Unread {
        /// The cause.
        source: StoreError,
    },
    /// No rules were accepted yet.
    #[snafu(display("step=read-regions error=\"no rules are accepted yet\""))]
    Nothing,
    /// The accepted rules do not parse.
    #[snafu(display("step=read-regions error={mistakes:?}"))]
    Mistaken {
        /// The mistakes.
        mistakes: String,
    },
}

/// Reads which region each failure domain belongs to.
///
/// # Errors
/// When no sound rules can be had.
pub async fn read_regions(
    store: &dyn ObjectStore,
) -> Result<BTreeMap<String, String>, RegionsError> {
    let Some(stored) = read_head(store).await.context(UnreadSnafu)? else {
        return NothingSnafu.fail();
    };
    let bytes = read_rules(store, &stored.head).await.context(UnreadSnafu)?;
    let rules = parse_rules("accepted", &bytes)
        .map_err(|mistakes| RegionsError::Mistaken { mistakes: render_diagnostics(&mistakes) })?;
    let mut regions = BTreeMap::new();
    for rule in rules.lines {
        if let RuleKind::Region { name, domains } = rule.kind {
            regions.extend(domains.into_iter().map(|domain| (domain, name.clone())));
        }
    }
    Ok(regions)
}
