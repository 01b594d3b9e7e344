//! Fronts as processes on accepted rules.

mod support;

use std::process::Command;

use rstest::rstest;
use rustix::process::Signal;
use support::{ChildProcess, SystemSize, TestSystem, WAIT_LONGEST};
use tokio::time::{sleep, timeout};

const SIZE: SystemSize = SystemSize { entries: 0, endpoints: 2, slots: 6, service_ms: 5 };
const LOOK_PAUSE: std::time::Duration = std::time::Duration::from_millis(20);

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
            let answer = request.header("Jackdaw-Request-Id", "r-1").send().await;
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return;
            }
            sleep(LOOK_PAUSE).await;
        }
    };
    timeout(WAIT_LONGEST, served).await.expect("it serves in time");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_front_serves_accepted_routes_until_it_is_stopped() {
    let system = TestSystem::start_bare("front-native", SIZE);
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
    assert!(front.wait_end().await, "a planned stop ends in order");
}

#[rstest]
#[case::no_rules(false, "north-a", "no rules are accepted yet")]
#[case::unknown_domain(true, "west-a", "failure domain west-a is in no accepted region")]
#[tokio::test(flavor = "multi_thread")]
async fn a_front_that_cannot_start_says_why(
    #[case] is_accepted: bool,
    #[case] domain: &str,
    #[case] reason: &str,
) {
    let system = TestSystem::start_bare(&format!("front-{domain}"), SIZE);
    if is_accepted {
        system.accept(&system.rules(SIZE), &[]);
    }
    let output = front_command(&system, domain).output().expect("the program runs");
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains("event=start-failed") && text.contains(reason), "{text}");
}
