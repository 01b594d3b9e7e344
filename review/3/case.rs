//! The store is down and silent for 0.35 s, shortly after a change of the manifest. Later, with the
//! store stable again, the operator moves a route to another service. Checks CONFIG: a request sent later
//! than `configApply` after the store has accepted the manifest is not run by the old service.

#[path = "../common/mod.rs"]
mod common;

use std::collections::BTreeMap;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::client::{Client, Request};
use common::endpoint::{Endpoint, EndpointPlan};
use common::front::{Front, FrontPlan, free_network};
use common::record::Record;
use common::store::Store;

const HOST: &str = "cups.example";
const FRONTS: usize = 3;
/// `configApply` of the settings, in seconds.
const APPLY: f64 = 2.5;
/// From a change of the manifest to the outage, and the length of the outage.
const BEFORE_MS: u64 = 580;
const OUTAGE_MS: u64 = 350;
/// From the end of the outage to the manifest, longer than `stabilityWindow` (3 s).
const CALM_MS: u64 = 3_300;
/// How long requests are sent after the manifest, in seconds.
const AFTER: f64 = 13.0;

fn main() {
    let code = run();
    exit(code);
}

fn run() -> i32 {
    let record = Arc::new(Record::default());
    let network = free_network();
    let store = Store::start(&format!("{network}.200"));
    let services = [common::service("ledger-a"), common::service("ledger-b")];
    let write_manifest = |version: u64, service: &str| {
        let routes = [common::route("pay", HOST, "/pay/", "unsafe", "1000ms", service)];
        store.put("config", "main", Some(&common::manifest(version, &routes, &services)), None);
    };
    write_manifest(3, "ledger-a");
    let zones = ["nord-a", "centre-a", "sud-a", "nord-b", "centre-b", "sud-b"];
    let endpoints: Vec<Arc<Endpoint>> = (0..6)
        .map(|index| {
            let plan = EndpointPlan {
                id: &format!("i-{index}f3a91c2"),
                service: if index % 2 == 0 { "ledger-a" } else { "ledger-b" },
                zone: zones[index],
                ip: &format!("{network}.{}", 100 + index),
                slots: 9,
                work: Duration::from_millis(100),
                poison: None,
            };
            let endpoint = Endpoint::start(&plan, &record);
            endpoint.beat_regularly(&store);
            endpoint
        })
        .collect();
    let fronts: Vec<Front> = (0..FRONTS)
        .map(|index| {
            let plan = FrontPlan {
                name: format!("front-{index}"),
                ip: format!("{network}.{}", 1 + index),
                zone: zones[index].to_owned(),
                store: store.address,
                grace: "6s".to_owned(),
            };
            Front::start(&plan, &common::folder())
        })
        .collect();
    if !fronts.iter().all(|front| front.wait_ready(Duration::from_secs(15))) {
        record.say("a front is not ready");
        return common::NOT_RUN;
    }
    let sent: Arc<Mutex<BTreeMap<String, f64>>> = Arc::default();
    let is_over: Arc<Mutex<bool>> = Arc::default();
    let clients: Vec<_> = (0..FRONTS * 3)
        .map(|number| {
            let address = fronts[number % fronts.len()].address;
            let mut client = Client::new(&format!("c{number}"), HOST, address, &record);
            let (sent, is_over) = (Arc::clone(&sent), Arc::clone(&is_over));
            thread::spawn(move || {
                let mut job = 0;
                while !*is_over.lock().unwrap() {
                    job += 1;
                    let name = format!("job-{number}-{job}");
                    let request = Request {
                        method: "POST",
                        path: &format!("/pay/{name}"),
                        affinity: &name,
                        deadline: Duration::from_millis(3_000),
                        body: name.as_bytes(),
                    };
                    let outcome = client.send(&request);
                    sent.lock().unwrap().insert(outcome.attempt, outcome.sent_at);
                    common::sleep_ms(60);
                }
            })
        })
        .collect();
    common::sleep_ms(5_000);
    write_manifest(5, "ledger-a");
    record.say("the store accepts manifest 5, which changes nothing but its version");
    common::sleep_ms(BEFORE_MS);
    if common::has_trouble() {
        record.say(format!("the store is down and silent for {OUTAGE_MS} ms"));
        store.set_silent(true);
        common::sleep_ms(OUTAGE_MS);
        store.set_silent(false);
        record.say("the store answers again");
    } else {
        common::sleep_ms(OUTAGE_MS);
    }
    common::sleep_ms(CALM_MS);
    write_manifest(9, "ledger-b");
    let ack = record.now();
    record.say("the store accepts manifest 9, which moves /pay/ from ledger-a to ledger-b");
    thread::sleep(Duration::from_secs_f64(AFTER));
    *is_over.lock().unwrap() = true;
    clients.into_iter().for_each(|client| client.join().expect("a client ends"));
    common::sleep_ms(500);
    let sent = sent.lock().unwrap();
    let (mut stale, mut moved, mut before) = (Vec::new(), 0, 0);
    for endpoint in &endpoints {
        for arrival in endpoint.arrivals.lock().unwrap().iter().filter(|arrival| arrival.is_run) {
            let Some(sent_at) = sent.get(&arrival.attempt) else {
                continue;
            };
            match endpoint.service.as_str() {
                "ledger-b" => moved += 1,
                _ if *sent_at > ack + APPLY => {
                    stale.push((*sent_at - ack, arrival.attempt.clone()))
                }
                _ => before += 1,
            }
        }
    }
    stale.sort_by(|one, other| one.0.total_cmp(&other.0));
    for (after, attempt) in stale.iter().take(3).chain(stale.iter().rev().take(1)) {
        record.say(format!(
            "CONFIG is broken: {attempt}, sent {after:.2} s after the ack of manifest 9, is run by ledger-a"
        ));
    }
    record.say(format!(
        "{} requests run by the old service although sent later than configApply; {moved} run by the new one, {before} by the old one before",
        stale.len()
    ));
    record.write(&common::record_path());
    if before < 50 {
        return common::NOT_RUN;
    }
    if stale.is_empty() { common::HELD } else { common::BROKEN }
}
