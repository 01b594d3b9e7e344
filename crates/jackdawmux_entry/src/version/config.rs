//! The active configuration, which only a higher version replaces.

use std::sync::Arc;

use jackdawmux_peer::ConfigContent;
use jackdawmux_policy::table::RouteTable;
use jackdawmux_policy::version::{VersionCheck, VersionGate};
use jackdawmux_rules::parse_rules;
use jackdawmux_store::digest_of;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use tokio::sync::watch;

use crate::process::EventLog;
use jackdawmux_runtime::ProcessClock;

/// The active version of the configuration.
#[derive(Debug)]
pub struct ActiveConfig {
    /// Version, digest and text of the rules.
    pub content: Arc<ConfigContent>,
    /// The compiled rules.
    pub table: Arc<RouteTable>,
    /// Time of activation in this process, in Unix milliseconds.
    pub active_since_ms: u64,
}

/// Offers a version from the store or a peer.
#[derive(Debug)]
pub(crate) struct OfferConfig {
    /// Version, digest and text of the rules.
    pub(crate) content: ConfigContent,
    /// Source of the offer, for the timeline.
    pub(crate) source: String,
}

/// Dependencies of the actor.
#[derive(Debug)]
pub(crate) struct ConfigParts {
    pub(crate) events: Arc<EventLog>,
    pub(crate) clock: ProcessClock,
    pub(crate) active_config: watch::Sender<Option<Arc<ActiveConfig>>>,
}

/// Checks offered versions and activates newer ones.
#[derive(Debug)]
pub(crate) struct ConfigActor {
    parts: ConfigParts,
    gate: VersionGate,
}

impl Actor for ConfigActor {
    type Args = ConfigParts;
    type Error = std::convert::Infallible;

    async fn on_start(parts: ConfigParts, _: ActorRef<Self>) -> Result<Self, Self::Error> {
        Ok(Self { parts, gate: VersionGate::default() })
    }
}

impl ConfigActor {
    fn handle_offer(&mut self, offer: OfferConfig) {
        let OfferConfig { content, source } = offer;
        match self.gate.check(content.version, &content.digest) {
            VersionCheck::Newer => self.activate_config(content, &source),
            VersionCheck::Same => {}
            check @ (VersionCheck::Older | VersionCheck::Conflicting) => {
                let active_version = self.gate.version();
                self.parts.events.record(
                    "config-refused",
                    &[
                        ("verdict", &check),
                        ("offered", &content.version),
                        ("in_force", &active_version),
                        ("source", &source),
                    ],
                );
            }
        }
    }

    fn activate_config(&mut self, content: ConfigContent, source: &str) {
        if digest_of(content.rules.as_bytes()) != content.digest {
            self.reject(content.version, source, "the content does not match its digest");
            return;
        }
        let Ok(file) = parse_rules("accepted", content.rules.as_bytes()) else {
            self.reject(content.version, source, "the rules do not parse");
            return;
        };
        let table = Arc::new(file.compile());
        self.gate.activate(content.version, &content.digest);
        self.parts.events.record(
            "config-in-force",
            &[
                ("version", &content.version),
                ("digest", &&content.digest[..12]),
                ("source", &source),
            ],
        );
        let active_since_ms = self.parts.clock.wall_ms();
        let state = ActiveConfig { content: Arc::new(content), table, active_since_ms };
        self.parts.active_config.send_replace(Some(Arc::new(state)));
    }

    fn reject(&self, version: u64, source: &str, reason: &str) {
        self.parts.events.record(
            "config-unusable",
            &[("version", &version), ("source", &source), ("reason", &reason)],
        );
    }
}

impl Message<OfferConfig> for ConfigActor {
    type Reply = ();

    async fn handle(&mut self, offer: OfferConfig, _: &mut Context<Self, ()>) {
        self.handle_offer(offer);
    }
}
