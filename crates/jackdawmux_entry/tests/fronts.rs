//! Tests of fronts as processes, with accepted rules or with settings from the platform.

mod support;

use std::io::{BufRead, BufReader};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Duration;

use jackdawmux_platform_standins::machine::MachineConfig;
use rstest::rstest;
use rustix::process::Signal;
use support::{ChildProcess, SystemSize, TestSystem, WAIT_TIMEOUT};
use tokio::time::{sleep, timeout};

const SIZE: SystemSize = SystemSize { entries: 0, endpoints: 2, slots: 6, service_ms: 5 };
const POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(20);

fn front_command(system: &TestSystem, domain: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jackdawmux"));
    command.arg("front").args(["--store", &format!("http://{}", system.store.address)]).args([
        "--instance",
        "front-1",
        "--failure-domain",
        domain,
        "--grace-ms",
        "1000",
    ]);
    command
}

async fn wait_served(system: &TestSystem, front: &ChildProcess) {
    let url = format!("http://{}/balance/1", front.address);
    let served = async {
        loop {
            let request = system.client.get(&url).header("Host", "a.example");
            let response = request.header("Jackdaw-Request-Id", "r-1").send().await;
            if response.is_ok_and(|response| response.status() == 200) {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(WAIT_TIMEOUT, served).await.expect("the front serves before the timeout");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_front_serves_accepted_routes_until_it_is_stopped() {
    let system = TestSystem::start_without_rules("front-native", SIZE);
    let rules = format!(
        "{}service ledger connections 400 cold 17/s for 3s  # platform team: contract\n\
         route balance host a.example path /balance/ to ledger priority low attempts 2 \
         target 200ms timeout 2s  # counter team: lookups\n",
        system.rules(SIZE)
    );
    system.accept(&rules, &[]);
    let mut front = ChildProcess::spawn(&mut front_command(&system, "north-a"));
    wait_served(&system, &front).await;
    front.signal(Signal::TERM);
    assert!(front.wait_exit().await, "the front did not stop gracefully");
}

#[rstest]
#[case::no_rules(false, "north-a", "no rules are accepted yet")]
#[case::unknown_domain(true, "west-a", "failure domain west-a is in no accepted region")]
#[tokio::test(flavor = "multi_thread")]
async fn a_front_that_cannot_start_logs_the_reason(
    #[case] is_accepted: bool,
    #[case] domain: &str,
    #[case] reason: &str,
) {
    let system = TestSystem::start_without_rules(&format!("front-{domain}"), SIZE);
    if is_accepted {
        system.accept(&system.rules(SIZE), &[]);
    }
    let output = front_command(&system, domain).output().expect("the front runs");
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains("event=start-failed") && text.contains(reason), "{text}");
}

fn platform_front(settings: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jackdawmux"));
    command.arg("front").arg("--node-file").arg(settings);
    command
}

fn settings_directory(name: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("jackdawmux-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the directory for settings is created");
    directory
}

#[test]
fn a_front_that_starts_with_incomplete_settings_reads_them_again() {
    let directory = settings_directory("half-written");
    let path = directory.join("front.toml");
    std::fs::write(&path, "").expect("the file is written");
    let mut child = platform_front(&path).stdout(Stdio::piped()).spawn().expect("the front starts");
    let mut lines = BufReader::new(child.stdout.take().expect("standard output is piped")).lines();
    let first = lines.next().expect("the front prints a line").expect("the line is UTF-8");
    assert!(first.contains("event=settings-unread"), "{first}");
    // No other test uses this IP address, so the ports after a free one are free as well.
    let ip = IpAddr::from([127, 76, 0, 1]);
    let free = TcpListener::bind(SocketAddr::new(ip, 0)).and_then(|bound| bound.local_addr());
    let site = MachineConfig {
        name: "front-1".to_owned(),
        domain: "north-a".to_owned(),
        ip,
        port: free.expect("a port is free").port(),
        // Nothing listens there: the front starts, but it cannot serve requests.
        store: SocketAddr::from(([127, 76, 0, 2], 1)),
        grace: Duration::from_secs(3),
    };
    let fresh = directory.join("front.toml.new");
    std::fs::write(&fresh, site.settings(&[("north-a", "north")])).expect("the file is written");
    std::fs::rename(&fresh, &path).expect("the file is replaced");
    let started = lines.any(|line| line.is_ok_and(|line| line.contains("event=started")));
    child.kill().expect("the front is killed");
    child.wait().expect("the front exits");
    assert!(started, "the front exited before it started");
}

#[test]
fn settings_that_stay_invalid_fail_the_start_with_all_errors() {
    let path = settings_directory("wrong").join("front.toml");
    std::fs::write(&path, "node = 7").expect("the file is written");
    let output = platform_front(&path).output().expect("the front runs");
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(2), "{text}");
    let last = text.lines().last().unwrap_or_default();
    assert!(last.contains("event=start-failed"), "{text}");
    assert!(last.contains("zone is missing") && last.contains("bounds.grace"), "{text}");
}
