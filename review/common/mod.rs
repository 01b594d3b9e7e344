//! Stand-ins of the platform's store, endpoints and clients, as the users' pages describe them, and
//! the start of the programs under test. Uses the standard library only.

#![allow(dead_code, reason = "each case uses a part")]

pub mod client;
pub mod endpoint;
pub mod front;
pub mod http;
pub mod json;
pub mod record;
pub mod store;

use std::time::Duration;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Folder for settings and logs, made by the script.
pub fn folder() -> String {
    std::env::args().nth(1).unwrap_or_else(|| ".".to_owned())
}

/// Path of the record, named by the script.
pub fn record_path() -> String {
    std::env::args().nth(2).unwrap_or_else(|| "record.txt".to_owned())
}

pub fn sleep_ms(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

/// A service of a manifest.
pub fn service(name: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":390,\"protocol\":\"h1\",\
         \"tls\":false,\"coldStart\":\"3s\",\"coldPerS\":14.0}}"
    )
}

/// A route of a manifest, with the times of the site chauxpartage unless stated.
pub fn route(
    name: &str,
    host: &str,
    prefix: &str,
    kind: &str,
    timeout: &str,
    service: &str,
) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{host}\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeout\":\"{timeout}\",\"targetLatency\":\"400ms\",\"priority\":1,\"service\":\"{service}\",\
         \"maxAttempts\":2,\"sticky\":true,\"homeRegions\":[]}}"
    )
}

pub fn manifest(version: u64, routes: &[String], services: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}}}",
        routes.join(","),
        services.join(",")
    )
}
