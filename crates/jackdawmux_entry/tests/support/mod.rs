//! A test system with store, upstreams and entries as separate processes.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::Duration;

use jackdawmux_soak::child::KillOnDropChild;
use reqwest::Client;
use rustix::process::Signal;
use serde_json::Value;
use tokio::time::{Instant, sleep};

/// Maximum wait for an expected state.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two queries of a state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const PEER_KEY: &str = "a key only for the tests";

/// Returns the directory of the built programs.
fn build_directory() -> PathBuf {
    let mut path = std::env::current_exe().expect("the path of the test program is known");
    path.pop();
    path.pop();
    path
}

fn example(name: &str) -> PathBuf {
    let path = build_directory().join("examples").join(name);
    assert!(path.exists(), "{} is not built; run `cargo test --workspace`", path.display());
    path
}

/// A child process that prints its address. It is killed when the handle is dropped.
pub struct ChildProcess {
    child: KillOnDropChild,
    pub address: SocketAddr,
    pub peer_address: Option<SocketAddr>,
}

impl ChildProcess {
    pub fn spawn(command: &mut Command) -> Self {
        let mut child = command
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let output = child.stdout.take().expect("standard output is piped");
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line).expect("the program prints its address");
        let field = |name: &str| {
            let word = line.split_whitespace().find_map(|word| word.strip_prefix(name));
            word.and_then(|text| text.parse().ok())
        };
        let address = field("address=").unwrap_or_else(|| panic!("no address in {line:?}"));
        Self { child: KillOnDropChild::from(child), address, peer_address: field("peer=") }
    }

    pub fn signal(&self, signal: Signal) {
        self.child.signal(signal).expect("the signal is sent");
    }

    pub fn kill(&mut self) {
        self.child.kill();
    }

    pub async fn wait_exit(&mut self) -> bool {
        self.child.wait_for_exit(WAIT_TIMEOUT).await.is_some_and(|status| status.success())
    }
}

/// Size of a test system.
#[derive(Clone, Copy)]
pub struct SystemSize {
    pub entries: usize,
    pub endpoints: usize,
    pub slots: u32,
    pub service_ms: u32,
}

/// A running test system: store, upstreams and entries, each a process.
pub struct TestSystem {
    pub store: ChildProcess,
    pub upstreams: Vec<ChildProcess>,
    pub entries: Vec<ChildProcess>,
    pub client: Client,
    names: BTreeMap<String, String>,
    directory: PathBuf,
}

pub const DOMAINS: [&str; 6] = ["north-a", "north-b", "mid-a", "mid-b", "south-a", "south-b"];

impl TestSystem {
    /// Starts all processes, accepts the rules and waits until they are active and every endpoint
    /// has an owner.
    pub async fn start(name: &str, size: SystemSize) -> Self {
        let system = Self::start_without_rules(name, size);
        let rules = system.rules(size);
        system.accept(&rules, &[]);
        system.wait_all_owned(size.endpoints).await;
        system
    }

    pub fn start_without_rules(name: &str, size: SystemSize) -> Self {
        let directory =
            std::env::temp_dir().join(format!("jackdawmux-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("the directory for rules files is created");
        let store = ChildProcess::spawn(&mut Command::new(example("store")));
        let upstreams = (0..size.endpoints)
            .map(|index| {
                let mut command = Command::new(example("upstream"));
                command.arg("--slots").arg(size.slots.to_string());
                command.arg("--service-ms").arg(size.service_ms.to_string());
                command.arg("--seed").arg(index.to_string());
                ChildProcess::spawn(&mut command)
            })
            .collect();
        let client = Client::builder().no_proxy().timeout(Duration::from_secs(20)).build();
        let client = client.expect("the HTTP client is built");
        let names = BTreeMap::new();
        let mut system = Self { store, upstreams, entries: Vec::new(), client, names, directory };
        for index in 0..size.entries {
            let entry = system.spawn_entry(index, &[]);
            system.entries.push(entry);
        }
        system.name_addresses();
        system
    }

    pub fn spawn_entry(&self, index: usize, extra: &[String]) -> ChildProcess {
        let mut command = Command::new(env!("CARGO_BIN_EXE_jackdawmux"));
        command
            .env("JACKDAWMUX_STORE", format!("http://{}", self.store.address))
            .env("JACKDAWMUX_PEER_KEY", PEER_KEY)
            .args(["--instance", &format!("entry-{index}")])
            .args(["--failure-domain", DOMAINS[index % DOMAINS.len()]])
            .args(["--lookup-ttl-ms", "300", "--lease-ms", "1500"])
            .args(extra);
        ChildProcess::spawn(&mut command)
    }

    fn name_addresses(&mut self) {
        self.names.insert(self.store.address.to_string(), "<store>".to_owned());
        for (index, upstream) in self.upstreams.iter().enumerate() {
            self.names.insert(upstream.address.to_string(), format!("<upstream-{index}>"));
        }
        for (index, entry) in self.entries.iter().enumerate() {
            self.names.insert(entry.address.to_string(), format!("<entry-{index}>"));
        }
    }

    /// Replaces addresses with names, so that golden files are the same on every run.
    pub fn redact(&self, text: &str) -> String {
        let mut text = text.to_owned();
        for (address, name) in &self.names {
            text = text.replace(address, name);
        }
        text
    }

    pub fn rules(&self, size: SystemSize) -> String {
        let mut text = String::from(
            "region north domains north-a,north-b  # platform team: sites of today\n\
             region mid domains mid-a,mid-b  # platform team: sites of today\n\
             region south domains south-a,south-b  # platform team: sites of today\n\
             link north mid bandwidth 4000Mbit/s delay 1ms  # network team: contract\n",
        );
        for (index, upstream) in self.upstreams.iter().enumerate() {
            let _ = writeln!(
                text,
                "upstream ledger {} domain {} slots {} connections 400  # platform team: sizes",
                upstream.address,
                DOMAINS[index % DOMAINS.len()],
                size.slots
            );
        }
        text.push_str(
            "operation ledger GET /balance priority low timeout 3s  # counter team: lookups\n\
             operation ledger POST /refunds priority high once timeout 3s  # counter team: refunds\n",
        );
        text
    }

    pub fn write_rules(&self, name: &str, rules: &str) -> PathBuf {
        let path = self.directory.join(name);
        std::fs::write(&path, rules).expect("the rules file is written");
        path
    }

    /// Runs `jackdawctl`.
    pub fn ctl(&self, arguments: &[&str]) -> Output {
        let path = build_directory().join("jackdawctl");
        assert!(path.exists(), "jackdawctl is not built; run `cargo test --workspace`");
        Command::new(path)
            .env("JACKDAWMUX_STORE", format!("http://{}", self.store.address))
            .env("JACKDAWMUX_OPERATOR", "operator")
            .args(arguments)
            .output()
            .expect("jackdawctl runs")
    }

    pub fn accept(&self, rules: &str, extra: &[&str]) -> Output {
        let path = self.write_rules("accept.rules", rules);
        let path = path.display().to_string();
        let arguments: Vec<&str> = ["accept"].into_iter().chain(extra.iter().copied()).collect();
        let output = self.ctl(&[&arguments[..], &[path.as_str()]].concat());
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        output
    }

    pub async fn status(&self, entry: usize) -> Option<Value> {
        let url = format!("http://{}/v1/status", self.entries[entry].address);
        let response = self.client.get(url).timeout(Duration::from_secs(2)).send().await.ok()?;
        response.json().await.ok()
    }

    /// Waits until a condition on the status of the given entries holds.
    pub async fn wait_for(
        &self,
        expected: &str,
        entries: &[usize],
        holds: impl Fn(&[Value]) -> bool,
    ) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let mut states = Vec::new();
        while Instant::now() < deadline {
            states.clear();
            for entry in entries {
                states.push(self.status(*entry).await.unwrap_or_default());
            }
            if holds(&states) {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("timed out waiting for: {expected}; last states {states:#?}");
    }

    pub async fn wait_all_owned(&self, endpoints: usize) {
        let entries: Vec<usize> = (0..self.entries.len()).collect();
        self.wait_owned(&entries, endpoints).await;
    }

    /// Waits until the given entries together own all endpoints and hold their leases.
    pub async fn wait_owned(&self, entries: &[usize], endpoints: usize) {
        self.wait_for("all endpoints owned under leases", entries, |states| {
            let owned: usize = states.iter().map(owned_endpoints).sum();
            let is_leased = states.iter().all(|state| {
                let steering = &state["steering"];
                let left = &steering["lease_left_ms"];
                steering["is_member"] == true && (left.is_null() || left.as_u64() > Some(0))
            });
            owned == endpoints && is_leased
        })
        .await;
    }

    pub async fn wait_version(&self, entries: &[usize], version: u64) {
        self.wait_for("version active", entries, |states| {
            states.iter().all(|state| state["config_version"].as_u64() >= Some(version))
        })
        .await;
    }

    pub async fn get(&self, entry: usize, path: &str) -> (u16, String, String) {
        let url = format!("http://{}{path}", self.entries[entry].address);
        read_response(self.client.get(url).send().await).await
    }

    pub async fn refund(&self, entry: usize, key: &str, body: &str) -> (u16, String, String) {
        self.refund_at(self.entries[entry].address, key, body).await
    }

    pub async fn refund_at(
        &self,
        address: SocketAddr,
        key: &str,
        body: &str,
    ) -> (u16, String, String) {
        let url = format!("http://{address}/ledger/refunds");
        let request = self.client.post(url).header("idempotency-key", key).body(body.to_owned());
        read_response(request.send().await).await
    }

    pub async fn ticket(&self, entry: usize) -> String {
        let url = format!("http://{}/v1/tickets?service=ledger", self.entries[entry].address);
        let response: Value = self
            .client
            .post(url)
            .send()
            .await
            .expect("tickets are issued")
            .json()
            .await
            .expect("tickets are JSON");
        response["tickets"][0].as_str().expect("a ticket is a string").to_owned()
    }

    pub async fn upstream_counts(&self) -> Vec<Value> {
        let mut counts = Vec::new();
        for upstream in &self.upstreams {
            let url = format!("http://{}/standin/counts", upstream.address);
            if let Ok(response) = self.client.get(url).send().await {
                counts.push(response.json().await.expect("counts are JSON"));
            }
        }
        counts
    }

    /// Returns how often each key ran, summed over all upstreams.
    pub async fn runs_by_key(&self) -> BTreeMap<String, u64> {
        let mut runs = BTreeMap::new();
        for count in self.upstream_counts().await {
            for (key, value) in count["runs_by_key"].as_object().expect("runs_by_key is an object")
            {
                *runs.entry(key.clone()).or_default() +=
                    value.as_u64().expect("a count is an integer");
            }
        }
        runs
    }

    /// Returns how often an endpoint was sent more concurrent requests than it has slots.
    pub async fn overloads(&self) -> u64 {
        let counts = self.upstream_counts().await;
        counts.iter().filter_map(|count| count["overloads"].as_u64()).sum()
    }

    pub async fn store_faults(&self, faults: &str) {
        let url = format!("http://{}/standin/faults", self.store.address);
        let request = self.client.post(url).header("content-type", "application/json");
        let response = request.body(faults.to_owned()).send().await.expect("the store responds");
        assert!(response.status().is_success());
    }

    pub async fn upstream_settings(&self, upstream: usize, settings: &str) {
        let url = format!("http://{}/standin/settings", self.upstreams[upstream].address);
        let request = self.client.post(url).header("content-type", "application/json");
        let response =
            request.body(settings.to_owned()).send().await.expect("the upstream responds");
        assert!(response.status().is_success());
    }
}

impl Drop for TestSystem {
    fn drop(&mut self) {
        // If the removal fails, only a few small files remain.
        let _removed = std::fs::remove_dir_all(&self.directory);
    }
}

pub fn owned_endpoints(state: &Value) -> usize {
    let services = state["steering"]["services"].as_array();
    services
        .into_iter()
        .flatten()
        .map(|service| service["endpoints"].as_array().map_or(0, Vec::len))
        .sum()
}

async fn read_response(
    response: Result<reqwest::Response, reqwest::Error>,
) -> (u16, String, String) {
    let response = match response {
        Ok(response) => response,
        Err(error) => return (0, "error".to_owned(), error.to_string()),
    };
    let status = response.status().as_u16();
    let outcome = response.headers().get("jackdaw-outcome").cloned();
    let outcome = outcome.and_then(|value| value.to_str().map(str::to_owned).ok());
    let replayed = response.headers().contains_key("jackdaw-replayed");
    let mut outcome = outcome.unwrap_or_else(|| "none".to_owned());
    if replayed {
        outcome.push_str(" replayed");
    }
    (status, outcome, response.text().await.unwrap_or_else(|error| error.to_string()))
}
