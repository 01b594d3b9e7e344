//! Request caps of teams: the requests that wait for a token, and the socket on which instances ask
//! each other for tokens.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::cap::{
    CapAnswer, CapLimit, CapRefusal, CapState, MemberChange, TeamId, WaitEnd, WaiterId,
};
use jackdawmux_policy::fleet::record::{InstanceRecord, TeamRecord};
use jackdawmux_runtime::{CapMetrics, ProcessClock};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot};
use tokio::time::sleep_until;

use super::cap_datagram::{CapMessage, MAX_CAP_BYTES, decode_cap, encode_cap};

/// Pause after a failed read of the socket.
const READ_BACKOFF: Duration = Duration::from_millis(100);

/// Datagrams that are read before other tasks may run.
const MAX_READS: usize = 64;

/// The state of the caps together with the requests that wait.
#[derive(Debug)]
struct CapQueue {
    caps: CapState,
    waiters: HashMap<WaiterId, (TeamId, oneshot::Sender<WaitEnd>)>,
    next_waiter: WaiterId,
}

impl CapQueue {
    /// Tells the requests that no longer wait. The token of a request that has gone is given to
    /// another one.
    fn deliver(&mut self, now: PolicyTime) {
        loop {
            let ends = self.caps.take_ends();
            if ends.is_empty() {
                return;
            }
            for (waiter, end) in ends {
                let Some((team, sender)) = self.waiters.remove(&waiter) else {
                    continue;
                };
                if let Err(Ok(expiry)) = sender.send(end) {
                    self.caps.give_back(now, team, expiry);
                }
            }
        }
    }
}

/// Enforces the request caps of teams together with the other instances.
#[derive(Debug)]
pub struct CapService {
    queue: Mutex<CapQueue>,
    clock: ProcessClock,
    metrics: CapMetrics,
    /// Notified when there are messages to send.
    asks_due: Notify,
    is_on: bool,
}

impl CapService {
    /// Creates the service of an instance. If it is not `is_on`, all requests are allowed.
    #[must_use]
    pub fn new(
        name: &str,
        region: &str,
        is_on: bool,
        clock: ProcessClock,
        metrics: CapMetrics,
    ) -> Self {
        let caps = CapState::new(rand::random(), name, region);
        let queue = CapQueue { caps, waiters: HashMap::new(), next_waiter: 0 };
        Self { queue: Mutex::new(queue), clock, metrics, asks_due: Notify::new(), is_on }
    }

    /// Applies the teams of the configuration in force.
    pub fn set_teams(&self, teams: &[TeamRecord]) {
        if !self.is_on {
            return;
        }
        let limits = teams.iter().filter_map(|team| {
            let limit = CapLimit::new(team.rate, team.burst)?;
            Some((TeamId::of(&team.name), limit))
        });
        let limits = limits.collect();
        let now = self.clock.now();
        let mut queue = self.lock();
        queue.caps.set_limits(now, &limits);
        queue.deliver(now);
    }

    /// Applies a registration of an instance in `region`.
    pub fn register(&self, record: &InstanceRecord, region: &str) {
        let now = self.clock.now();
        let change = self.lock().caps.register(now, &record.name, region, record.cap_address);
        self.log_change(&record.name, change);
    }

    /// This process replaced the registration of an earlier one.
    pub(crate) fn inherit(&self) {
        self.lock().caps.inherit(self.clock.now());
    }

    /// Applies the removal of a registration.
    pub fn withdraw(&self, name: &str) {
        let change = self.lock().caps.withdraw(self.clock.now(), name);
        self.log_change(name, change);
    }

    /// Applies a complete list of registrations with their regions.
    pub fn replace<'list>(&self, list: impl Iterator<Item = (&'list InstanceRecord, &'list str)>) {
        let list = list.map(|(record, region)| (record.name.as_str(), region, record.cap_address));
        self.lock().caps.replace(self.clock.now(), list);
    }

    /// Grants no tokens from now on.
    pub fn stop_granting(&self) {
        self.lock().caps.stop_granting();
    }

    /// Requests a token for a request of a team. `proof_age` is the age of the read that confirmed
    /// the list of instances.
    ///
    /// # Errors
    /// When the request is above the cap, or no holder of the cap replies.
    pub async fn acquire(
        self: &Arc<Self>,
        team: &TeamRecord,
        deadline: PolicyTime,
        proof_age: Option<Duration>,
    ) -> Result<CapPermit, CapRefusal> {
        let limit = CapLimit::new(team.rate, team.burst).filter(|_| self.is_on);
        let Some(limit) = limit else {
            return Ok(CapPermit { token: None });
        };
        let team = TeamId::of(&team.name);
        let end = match self.enter(team, limit, deadline, proof_age) {
            Ok(end) => end,
            Err(wait) => wait.end().await,
        };
        self.metrics.count_request(match end {
            Ok(_) => "granted",
            Err(CapRefusal::OverCap { .. }) => "over-cap",
            Err(CapRefusal::Unknown { .. }) => "cap-unknown",
        });
        let expiry = end?;
        Ok(CapPermit { token: Some(CapToken { service: Arc::clone(self), team, expiry }) })
    }

    /// Takes a token that is at hand, or adds the request to those that wait.
    fn enter(
        self: &Arc<Self>,
        team: TeamId,
        limit: CapLimit,
        deadline: PolicyTime,
        proof_age: Option<Duration>,
    ) -> Result<WaitEnd, CapWait> {
        let now = self.clock.now();
        let mut queue = self.lock();
        queue.caps.observe_proof(now, proof_age);
        queue.next_waiter += 1;
        let waiter = queue.next_waiter;
        let end = queue.caps.acquire(now, team, limit, waiter, deadline);
        queue.deliver(now);
        if let Some(end) = end {
            return Ok(end);
        }
        let (sender, receiver) = oneshot::channel();
        queue.waiters.insert(waiter, (team, sender));
        drop(queue);
        self.asks_due.notify_one();
        Err(CapWait { service: Arc::clone(self), team, waiter, receiver })
    }

    /// Sends and receives messages until the process ends. `proof_age` returns the age of the read
    /// that confirmed the list of instances.
    pub async fn run(
        self: Arc<Self>,
        socket: UdpSocket,
        proof_age: impl Fn() -> Option<Duration> + Send,
    ) {
        let mut buffer = [0; MAX_CAP_BYTES];
        loop {
            let due = self.send_asks(&socket);
            let ticks = async {
                match due {
                    Some(due) => sleep_until(self.clock.instant(due)).await,
                    // Nothing is awaited.
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = self.asks_due.notified() => continue,
                readable = socket.readable() => if let Err(error) = readable {
                    log::warn!("event=cap-datagram-unread step=wait error={error:?}");
                    tokio::time::sleep(READ_BACKOFF).await;
                },
                () = ticks => {}
            }
            // Replies that have arrived count before their senders are taken to be silent.
            for _ in 0..MAX_READS {
                let Some((count, peer)) = try_receive(&socket, &mut buffer) else {
                    break;
                };
                self.handle(&socket, &buffer[..count], peer, proof_age());
            }
            let now = self.clock.now();
            let mut queue = self.lock();
            queue.caps.observe_proof(now, proof_age());
            if queue.caps.next_due().is_some_and(|due| due <= now) {
                queue.caps.tick(now);
            }
            queue.deliver(now);
        }
    }

    /// Sends the messages that are due. Returns when replies to earlier ones are overdue.
    fn send_asks(&self, socket: &UdpSocket) -> Option<PolicyTime> {
        let now = self.clock.now();
        let mut queue = self.lock();
        let asks = queue.caps.take_asks(now);
        let silenced = queue.caps.take_silenced();
        let due = queue.caps.next_due();
        drop(queue);
        for holder in silenced {
            log::warn!("event=cap-holder-silent peer={holder}");
        }
        for (holder, ask) in asks {
            self.send(socket, holder, &CapMessage::Ask(ask));
        }
        due
    }

    fn handle(
        &self,
        socket: &UdpSocket,
        bytes: &[u8],
        peer: SocketAddr,
        proof_age: Option<Duration>,
    ) {
        let message = match decode_cap(bytes) {
            Ok(message) => message,
            Err(error) => {
                self.metrics.count_datagram("malformed");
                log::debug!("event=cap-datagram-unread step=decode peer={peer} error={error:?}");
                return;
            }
        };
        let now = self.clock.now();
        let mut queue = self.lock();
        queue.caps.observe_proof(now, proof_age);
        match message {
            CapMessage::Ask(ask) => {
                let answer = queue.caps.serve(now, &ask);
                drop(queue);
                let asked: u64 = ask.teams.iter().map(|team| u64::from(team.1)).sum();
                self.count_answer(&answer, asked);
                self.send(socket, peer, &CapMessage::Answer(answer));
            }
            CapMessage::Answer(answer) => {
                let is_awaited = queue.caps.accept(now, &answer);
                queue.deliver(now);
                drop(queue);
                self.metrics.count_datagram(if is_awaited { "awaited" } else { "unawaited" });
            }
        }
    }

    fn count_answer(&self, answer: &CapAnswer, asked: u64) {
        let granted = answer.teams.iter().map(|team| u64::from(team.granted)).sum();
        self.metrics.count_tokens("granted", granted);
        let is_denied = answer.teams.iter().any(|team| team.is_denied);
        let outcome = if is_denied { "denied" } else { "unable" };
        self.metrics.count_tokens(outcome, asked.saturating_sub(granted));
    }

    fn send(&self, socket: &UdpSocket, peer: SocketAddr, message: &CapMessage) {
        let sent = encode_cap(message).and_then(|bytes| socket.try_send_to(&bytes, peer));
        if let Err(error) = sent {
            // Counts as a lost datagram: the asking instance turns to another holder.
            self.metrics.count_datagram("unsent");
            log::debug!("event=cap-datagram-unsent peer={peer} error={error:?}");
        }
    }

    fn log_change(&self, name: &str, change: MemberChange) {
        if change != MemberChange::Same && self.is_on {
            log::info!("event=cap-holder-changed instance={name} change={change}");
        }
    }

    fn lock(&self) -> MutexGuard<'_, CapQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn try_receive(socket: &UdpSocket, buffer: &mut [u8]) -> Option<(usize, SocketAddr)> {
    loop {
        match socket.try_recv_from(buffer) {
            Ok(received) => return Some(received),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return None,
            // An earlier datagram was rejected by its receiver's machine.
            Err(error) => log::debug!("event=cap-datagram-unread step=read error={error:?}"),
        }
    }
}

/// A request that waits for a token. If it is dropped, another request gets its token.
#[derive(Debug)]
struct CapWait {
    service: Arc<CapService>,
    team: TeamId,
    waiter: WaiterId,
    receiver: oneshot::Receiver<WaitEnd>,
}

impl CapWait {
    async fn end(mut self) -> WaitEnd {
        let lost = CapRefusal::Unknown { retry_after: READ_BACKOFF };
        (&mut self.receiver).await.unwrap_or(Err(lost))
    }
}

impl Drop for CapWait {
    fn drop(&mut self) {
        self.receiver.close();
        let end = self.receiver.try_recv();
        let now = self.service.clock.now();
        let mut queue = self.service.lock();
        if let Ok(Ok(expiry)) = end {
            queue.caps.give_back(now, self.team, expiry);
            queue.deliver(now);
        } else if queue.waiters.remove(&self.waiter).is_some() {
            queue.caps.cancel(self.team, self.waiter);
        }
    }
}

/// A token of the cap of a team.
#[derive(Debug)]
struct CapToken {
    service: Arc<CapService>,
    team: TeamId,
    expiry: PolicyTime,
}

/// Permission to send one request to endpoints, whatever the number of attempts. The first attempt
/// must begin while [`Self::is_valid`] holds.
#[derive(Debug)]
#[must_use = "a token that is neither used nor given back is lost"]
pub struct CapPermit {
    token: Option<CapToken>,
}

impl CapPermit {
    /// Permission for a request that counts towards no cap.
    pub(crate) const fn unlimited() -> Self {
        Self { token: None }
    }

    /// Whether the request may still be sent.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.token.as_ref().is_none_or(|token| token.service.clock.now() < token.expiry)
    }

    /// Leaves the token to another request, because this one was not sent to any endpoint.
    pub fn give_back(self) {
        let Some(CapToken { service, team, expiry }) = self.token else {
            return;
        };
        let now = service.clock.now();
        let mut queue = service.lock();
        queue.caps.give_back(now, team, expiry);
        queue.deliver(now);
    }
}
