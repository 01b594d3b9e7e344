//! Request caps of three instances over UDP sockets, and the encoding of their datagrams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jackdawmux_front::process::{CapMessage, CapPermit, CapService, decode_cap, encode_cap};
use jackdawmux_policy::fleet::cap::{
    CapAnswer, CapAsk, CapRefusal, MAX_TEAMS_PER_ASK, TeamAnswer, TeamAsk, TeamId,
};
use jackdawmux_policy::fleet::record::{InstanceRecord, TeamRecord};
use jackdawmux_runtime::{ProcessClock, ProcessMetrics};
use proptest::prelude::*;
use rstest::rstest;
use smallvec::SmallVec;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

const REGIONS: [&str; 3] = ["east", "north", "west"];

struct CapNode {
    service: Arc<CapService>,
    metrics: ProcessMetrics,
    clock: ProcessClock,
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl CapNode {
    async fn acquire(&self, team: &TeamRecord) -> Result<CapPermit, CapRefusal> {
        let deadline = self.clock.now() + Duration::from_secs(1);
        self.service.acquire(team, deadline, Some(Duration::ZERO)).await
    }

    /// Sends `count` requests at once; returns how many got a permit and how many were over the cap.
    async fn acquire_many(&self, team: &TeamRecord, count: usize) -> (usize, usize) {
        let mut requests = Vec::new();
        for _ in 0..count {
            let (service, team) = (Arc::clone(&self.service), team.clone());
            let deadline = self.clock.now() + Duration::from_secs(1);
            requests.push(tokio::spawn(async move {
                service.acquire(&team, deadline, Some(Duration::ZERO)).await
            }));
        }
        let (mut granted, mut over) = (0, 0);
        for request in requests {
            match request.await.expect("the request ends") {
                Ok(_permit) => granted += 1,
                Err(CapRefusal::OverCap { .. }) => over += 1,
                Err(CapRefusal::Unknown { .. }) => {}
            }
        }
        (granted, over)
    }
}

fn team(name: &str, rate: f64) -> TeamRecord {
    let (keys, homes) = (SmallVec::new(), SmallVec::new());
    TeamRecord { name: name.to_owned(), keys, priority: None, rate, burst: rate, homes }
}

async fn open_node(index: usize, teams: &[TeamRecord]) -> CapNode {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port is free");
    let address = socket.local_addr().expect("the socket is bound");
    let metrics = ProcessMetrics::new().expect("metrics are set up");
    let clock = ProcessClock::default();
    let name = format!("front-{index}");
    let caps = metrics.caps().clone();
    let service = Arc::new(CapService::new(&name, REGIONS[index], true, clock, caps));
    service.set_teams(teams);
    let task = tokio::spawn(Arc::clone(&service).run(socket, || Some(Duration::ZERO)));
    CapNode { service, metrics, clock, address, task }
}

/// Starts one instance in each region, and waits until their buckets are filled.
async fn open_fleet(teams: &[TeamRecord]) -> Vec<CapNode> {
    let mut nodes = Vec::new();
    for index in 0..REGIONS.len() {
        nodes.push(open_node(index, teams).await);
    }
    let records: Vec<InstanceRecord> = nodes.iter().enumerate().map(record).collect();
    for node in &nodes {
        node.service.replace(records.iter().zip(REGIONS));
    }
    sleep(Duration::from_millis(6_600)).await;
    nodes
}

fn record((index, node): (usize, &CapNode)) -> InstanceRecord {
    InstanceRecord {
        name: format!("front-{index}"),
        address: node.address,
        heartbeat_address: node.address,
        domain: REGIONS[index].to_owned(),
        capacity_permille: 100,
        incarnation: 1,
        cap_address: Some(node.address),
    }
}

/// Guards against a cap that applies to each instance, requests that wait for ever when a datagram is
/// malformed or a holder stops, and permits that are lost when they are given back.
#[tokio::test]
async fn three_instances_share_the_cap_of_a_team() {
    let teams = [team("acme", 30.0), team("small", 2.4), team("free", 0.0)];
    let nodes = open_fleet(&teams).await;

    // 30 tokens in the buckets, and a few that are added meanwhile.
    let started = Instant::now();
    let (first, second) =
        tokio::join!(nodes[0].acquire_many(&teams[0], 40), nodes[1].acquire_many(&teams[0], 40));
    let granted = first.0 + second.0;
    let added = started.elapsed().as_secs_f64() * 30.0 + 3.0;
    assert!((30..=30 + added as usize).contains(&granted), "{granted} granted, {added} added");
    assert_eq!(first.1 + second.1, 80 - granted, "all others are over the cap");

    // A team without a cap needs no token.
    assert!(nodes[2].acquire(&teams[2]).await.is_ok());

    // Each bucket holds one token; one that is given back serves another request.
    let mut permits = Vec::new();
    for _ in 0..3 {
        permits.push(nodes[0].acquire(&teams[1]).await.expect("a token is left"));
    }
    assert!(permits.iter().all(CapPermit::is_valid));
    let refusal = nodes[0].acquire(&teams[1]).await.expect_err("no token is left");
    assert!(matches!(refusal, CapRefusal::OverCap { .. }), "{refusal:?}");
    permits.pop().expect("three permits").give_back();
    let again = nodes[0].acquire(&teams[1]).await;
    assert!(again.is_ok_and(|permit| permit.is_valid()), "the token that was given back");

    let stranger = UdpSocket::bind("127.0.0.1:0").await.expect("a port is free");
    stranger.send_to(b"\xffnonsense", nodes[1].address).await.expect("the datagram is sent");
    sleep(Duration::from_millis(1_000)).await;
    let (granted, _) = nodes[2].acquire_many(&teams[0], 20).await;
    assert!(granted >= 18, "{granted} of 20 granted after a malformed datagram");
    let rendered = nodes[1].metrics.render();
    let is_counted = |line: &str| line.contains("cap_datagrams") && line.contains("malformed");
    assert!(rendered.lines().any(is_counted), "{rendered}");
    assert!(rendered.contains("cap_tokens"), "{rendered}");

    // A holder stops without notice; the others are asked after 60 ms.
    nodes[1].task.abort();
    sleep(Duration::from_millis(1_000)).await;
    let started = Instant::now();
    let (granted, _) = nodes[0].acquire_many(&teams[0], 25).await;
    assert!(granted >= 16, "{granted} of 25 granted with two of three holders");
    assert!(started.elapsed() < Duration::from_millis(250), "{:?}", started.elapsed());

    // An instance that stops grants nothing, but still asks.
    nodes[2].service.stop_granting();
    sleep(Duration::from_millis(1_000)).await;
    let (own, other) = (nodes[2].acquire(&teams[0]).await, nodes[0].acquire(&teams[0]).await);
    assert!(own.is_ok() && other.is_ok(), "{own:?} {other:?}");
    nodes[0].task.abort();
    let refusal = nodes[2].acquire(&teams[0]).await.expect_err("no holder is left");
    assert!(matches!(refusal, CapRefusal::Unknown { .. }), "{refusal:?}");
}

/// Guards against datagrams that are cut off by the receive buffer of 1,200 bytes.
#[rstest]
fn the_largest_messages_fit_a_datagram() {
    let teams = (0..MAX_TEAMS_PER_ASK).map(|_| TeamAsk(TeamId(u64::MAX), u32::MAX)).collect();
    let ask = CapMessage::Ask(CapAsk { asker: u64::MAX, sequence: u64::MAX, teams });
    let answer = TeamAnswer {
        team: TeamId(u64::MAX),
        granted: u32::MAX,
        is_denied: true,
        retry_ms: u32::MAX,
    };
    let teams = vec![answer; MAX_TEAMS_PER_ASK];
    let answer = CapMessage::Answer(CapAnswer { asker: u64::MAX, sequence: u64::MAX, teams });
    for message in [ask, answer] {
        let bytes = encode_cap(&message).expect("the message is encoded");
        assert!(bytes.len() <= 1_200, "{} bytes", bytes.len());
        assert_eq!(decode_cap(&bytes).expect("the message is decoded"), message);
    }
}

/// Guards against instances of later releases that are not understood while a fleet is updated.
#[rstest]
fn elements_of_later_releases_are_ignored() {
    let mut bytes = Vec::new();
    let wire = (1_u8, 5_u64, 6_u64, [(7_u64, 8_u32, false, 0_u32, "later")], "later");
    ciborium::into_writer(&wire, &mut bytes).expect("the message is encoded");
    let teams = vec![TeamAsk(TeamId(7), 8)];
    let expected = CapMessage::Ask(CapAsk { asker: 5, sequence: 6, teams });
    assert_eq!(decode_cap(&bytes).expect("the message is decoded"), expected);
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _decoded = decode_cap(&bytes);
    }
}
