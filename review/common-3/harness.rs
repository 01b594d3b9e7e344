//! Stand-ins for the platform's store, endpoints and clients, and processes of the system, for the
//! scripts of this review. Standard library only.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Host of all routes.
pub const HOST: &str = "a.example";
/// Zones and bounds of a site, as far as they differ between the sites of the cases.
pub struct Site {
    pub zones: &'static [(&'static str, &'static str)],
    pub drain_ms: u64,
    pub apply_ms: u64,
    pub stability_ms: u64,
    pub retry_slack: u32,
    pub cold_slack: u32,
}

pub const TURULETI: Site = Site {
    zones: &[
        ("tln-a", "tallinn"),
        ("tln-b", "tallinn"),
        ("trt-a", "tartu"),
        ("trt-b", "tartu"),
        ("rix-a", "riga"),
        ("rix-b", "riga"),
    ],
    drain_ms: 3_000,
    apply_ms: 3_000,
    stability_ms: 4_000,
    retry_slack: 218,
    cold_slack: 8,
};

pub const CHAUXPARTAGE: Site = Site {
    zones: &[
        ("nord-a", "nord"),
        ("centre-a", "centre"),
        ("sud-a", "sud"),
        ("nord-b", "nord"),
        ("centre-b", "centre"),
        ("sud-b", "sud"),
    ],
    drain_ms: 2_500,
    apply_ms: 2_500,
    stability_ms: 3_000,
    retry_slack: 62,
    cold_slack: 5,
};

/// Grace period of the settings.
pub const GRACE: Duration = Duration::from_secs(6);

// ---------------------------------------------------------------------------------------------
// Record

/// Everything that was sent, answered and run, in the order of time.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn start() -> Arc<Self> {
        Arc::new(Self { start: Instant::now(), lines: Mutex::default() })
    }

    pub fn add(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}", self.start.elapsed().as_secs_f64(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn save(&self, path: &str) -> io::Result<()> {
        let mut file = File::create(path)?;
        for line in self.lines.lock().unwrap().iter() {
            writeln!(file, "{line}")?;
        }
        Ok(())
    }
}

/// Processes that were started and have not been ended.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Reports that the case could not run, ends the processes and exits with 2.
pub fn cannot_run(reason: &str) -> ! {
    for pid in CHILDREN.lock().unwrap().iter() {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
    }
    eprintln!("the case could not run: {reason}");
    std::process::exit(2);
}

// ---------------------------------------------------------------------------------------------
// HTTP

/// Head of a message and the bytes that were read after it.
pub struct Message {
    pub head: String,
    pub rest: Vec<u8>,
}

impl Message {
    /// Reads up to the end of a head. `rest` holds bytes that were read before.
    pub fn read_head(stream: &mut TcpStream, rest: Vec<u8>) -> io::Result<Option<Self>> {
        let mut bytes = rest;
        loop {
            if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
                let rest = bytes.split_off(end + 4);
                let head = String::from_utf8_lossy(&bytes).into_owned();
                return Ok(Some(Self { head, rest }));
            }
            let mut buffer = [0; 16 * 1024];
            match stream.read(&mut buffer)? {
                0 if bytes.is_empty() => return Ok(None),
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                count => bytes.extend_from_slice(&buffer[..count]),
            }
        }
    }

    pub fn header(&self, name: &str) -> &str {
        let line = self.head.lines().skip(1).find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim())
        });
        line.unwrap_or_default()
    }

    /// Second word of the first line: the target of a request, the status of a response.
    pub fn word(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }

    /// Reads the body to its end. Returns it with the bytes after it.
    pub fn read_body(self, stream: &mut TcpStream) -> io::Result<(Vec<u8>, Vec<u8>)> {
        let is_chunked = self.header("transfer-encoding").eq_ignore_ascii_case("chunked");
        let length: usize = self.header("content-length").parse().unwrap_or(0);
        let mut reader = BodyReader { stream, bytes: self.rest };
        if !is_chunked {
            return Ok((reader.take(length)?, reader.bytes));
        }
        let mut body = Vec::new();
        loop {
            let line = reader.take_line()?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or(""), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            if size == 0 {
                while !reader.take_line()?.is_empty() {}
                return Ok((body, reader.bytes));
            }
            body.extend(reader.take(size)?);
            reader.take(2)?;
        }
    }
}

struct BodyReader<'stream> {
    stream: &'stream mut TcpStream,
    bytes: Vec<u8>,
}

impl BodyReader<'_> {
    fn fill(&mut self) -> io::Result<()> {
        let mut buffer = vec![0; 256 * 1024];
        let count = self.stream.read(&mut buffer)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.bytes.extend_from_slice(&buffer[..count]);
        Ok(())
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.bytes.len() < count {
            self.fill()?;
        }
        let rest = self.bytes.split_off(count);
        Ok(std::mem::replace(&mut self.bytes, rest))
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.bytes.windows(2).position(|window| window == b"\r\n") {
                let line = self.take(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }
}

/// Formats a client's request.
pub fn request(method: &str, path: &str, attempt: &str, limit: Duration, body: &[u8]) -> Vec<u8> {
    request_for("17", method, path, attempt, limit, body)
}

/// Formats a client's request that concerns an object.
pub fn request_for(
    object: &str,
    method: &str,
    path: &str,
    attempt: &str,
    limit: Duration,
    body: &[u8],
) -> Vec<u8> {
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n\
         X-Affinity-Key: {object}\r\nX-Deadline-Ms: {}\r\n",
        limit.as_millis()
    );
    if method != "GET" {
        let _ = write!(head, "Content-Length: {}\r\n", body.len());
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Formats an endpoint's answer to a request that it has run.
pub fn answer(request: &Message, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Response-Stamp: 1.{}\r\n\
         X-Server-Load: 1,0,9\r\nContent-Length: {}\r\n\r\n",
        request.header("x-attempt-id"),
        request.header("x-attempt-id"),
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

// ---------------------------------------------------------------------------------------------
// Store

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// Objects by kind and name, as JSON.
    objects: BTreeMap<(String, String), String>,
    /// Revision, kind and event of each change.
    history: Vec<(u64, String, String)>,
}

/// Stand-in for the platform's metadata store.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| cannot_run("store port"));
        let address = listener.local_addr().unwrap();
        let state = Mutex::new(StoreState { revision: 100, ..StoreState::default() });
        let store = Arc::new(Self { address, state, changed: Condvar::new() });
        let shared = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&shared);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str, status: &str) -> String {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let object = format!(
            r#"{{"metadata":{{"name":"{name}","revision":{revision},"created":{revision},"finalizers":[],"deletionStarted":false}},"spec":{spec},"status":{status}}}"#
        );
        state.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        let event = format!(r#"{{"deleted":false,"object":{object}}}"#);
        state.history.push((revision, kind.to_owned(), event));
        self.changed.notify_all();
        object
    }

    pub fn delete(&self, kind: &str, name: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        state.revision += 1;
        let revision = state.revision;
        let event = format!(r#"{{"deleted":true,"object":{object}}}"#);
        state.history.push((revision, kind.to_owned(), event));
        self.changed.notify_all();
        true
    }

    /// Registers an endpoint that is ready.
    pub fn register(&self, id: &str, address: SocketAddr, zone: &str) {
        self.report(id, address, zone, (0, 1), Duration::ZERO);
    }

    /// Writes what an endpoint that is ready reports of itself: how much later than the first start it
    /// has started, in ms, the number of the report, and how much longer it is cold.
    pub fn report(
        &self,
        id: &str,
        address: SocketAddr,
        zone: &str,
        (started, sequence): (u64, u64),
        cold: Duration,
    ) {
        let born = 1_790_000_000_000 + started;
        let spec = format!(
            r#"{{"address":"{address}","born":{born},"info":{{"service":"ledger","version":"v1","zone":"{zone}","slots":9}}}}"#
        );
        let cold = cold.as_millis();
        let status =
            format!(r#"{{"state":"ready","sequence":{sequence},"coldLeft":"{cold}ms"}}"#);
        self.put("servers", id, &spec, &status);
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(message)) = Message::read_head(&mut stream, rest) {
            let method = message.head.split(' ').next().unwrap_or_default().to_owned();
            let target = message.word().to_owned();
            let Ok((body, after)) = message.read_body(&mut stream) else { return };
            rest = after;
            let body = String::from_utf8_lossy(&body).into_owned();
            let (status, reply) = self.reply(&method, &target, &body);
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 0\r\n\
                 Content-Length: {}\r\n\r\n{reply}",
                reply.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn reply(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut parts = path.trim_start_matches("/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or_default();
        let name = parts.next();
        let parameter = |key: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find_map(|(found, value)| (found == key).then_some(value))
        };
        match (method, name) {
            ("GET", None) => match parameter("watch").and_then(|text| text.parse().ok()) {
                Some(position) => {
                    let wait = parameter("waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                    (200, self.watch(kind, position, Duration::from_millis(wait)))
                }
                None => (200, self.list(kind)),
            },
            ("GET", Some(name)) => {
                let key = (kind.to_owned(), name.to_owned());
                match self.state.lock().unwrap().objects.get(&key) {
                    Some(object) => (200, object.clone()),
                    None => (404, "{}".to_owned()),
                }
            }
            ("POST" | "PUT", _) => {
                let metadata = json_field(body, "metadata").unwrap_or_default();
                let name = json_field(&metadata, "name").unwrap_or_default();
                let name = name.trim_matches('"');
                let spec = json_field(body, "spec").unwrap_or_else(|| "null".to_owned());
                let key = (kind.to_owned(), name.to_owned());
                let known = self.state.lock().unwrap().objects.get(&key).cloned();
                match known {
                    Some(object) if method == "POST" => (409, object),
                    None if method == "PUT" => (404, "{}".to_owned()),
                    _ => (200, self.put(kind, name, &spec, "null")),
                }
            }
            ("DELETE", Some(name)) => (if self.delete(kind, name) { 200 } else { 404 }, "{}".into()),
            _ => (405, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> String {
        let state = self.state.lock().unwrap();
        let items = state.objects.iter().filter(|((found, _), _)| found == kind);
        let items: Vec<&str> = items.map(|(_, object)| object.as_str()).collect();
        format!(r#"{{"items":[{}],"hasMore":false,"at":{}}}"#, items.join(","), state.revision)
    }

    fn watch(&self, kind: &str, position: u64, wait: Duration) -> String {
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let events = state.history.iter();
            let events = events.filter(|(at, found, _)| *at > position && found == kind);
            let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    r#"{{"events":[{}],"at":{}}}"#,
                    events.join(","),
                    state.revision
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// Returns the text of a field of a JSON object.
fn json_field(object: &str, name: &str) -> Option<String> {
    let bytes = object.as_bytes();
    let (mut depth, mut at) = (0_i32, 0);
    let mut key: Option<String> = None;
    let mut start = None;
    while at < bytes.len() {
        match bytes[at] {
            b'"' => {
                let begin = at;
                at += 1;
                while at < bytes.len() && bytes[at] != b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                if depth == 1 && key.is_none() {
                    key = Some(object[begin + 1..at].to_owned());
                }
            }
            b':' if depth == 1 && start.is_none() => start = Some(at + 1),
            b'{' | b'[' => depth += 1,
            b'}' | b']' | b',' => {
                if bytes[at] != b',' {
                    depth -= 1;
                }
                if (depth == 1 && bytes[at] == b',') || depth == 0 {
                    if key.as_deref() == Some(name) {
                        return start.map(|start| object[start..at].trim().to_owned());
                    }
                    key = None;
                    start = None;
                }
            }
            _ => {}
        }
        at += 1;
    }
    None
}

/// A manifest with a safe, an unsafe and an upload route to one service.
pub fn manifest(timeout: Duration) -> String {
    manifest_with(timeout, false)
}

/// The same; `is_sticky` says whether requests for one object prefer one endpoint.
pub fn manifest_with(timeout: Duration, is_sticky: bool) -> String {
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","pathPrefix":"{prefix}","kind":"{kind}","timeout":"{}ms","targetLatency":"600ms","priority":1,"service":"ledger","maxAttempts":2,"sticky":{is_sticky},"homeRegions":[]}}"#,
            timeout.as_millis()
        )
    };
    format!(
        r#"{{"version":3,"routes":[{},{},{}],"services":[{{"name":"ledger","healthPath":"/health","maxConns":1770,"protocol":"h1","tls":false,"coldStart":"3s","coldPerS":14.0}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}}}"#,
        route("look", "/look/", "safe"),
        route("pay", "/pay/", "unsafe"),
        route("up", "/up/", "upload"),
    )
}

// ---------------------------------------------------------------------------------------------
// Endpoints

/// Starts an endpoint. `serve` answers one request and returns the bytes that follow it on the
/// channel, or an error if the channel has ended.
pub fn start_endpoint(
    serve: impl Fn(&mut TcpStream, Message) -> io::Result<Vec<u8>> + Send + Sync + 'static,
) -> SocketAddr {
    start_endpoint_channels(move |stream, message, _earlier| serve(stream, message))
}

/// The same; `serve` is also told how many requests the channel has carried before.
pub fn start_endpoint_channels(
    serve: impl Fn(&mut TcpStream, Message, usize) -> io::Result<Vec<u8>> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| cannot_run("endpoint port"));
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let (mut rest, mut earlier) = (Vec::new(), 0);
                while let Ok(Some(message)) = Message::read_head(&mut stream, rest) {
                    match serve(&mut stream, message, earlier) {
                        Ok(after) => rest = after,
                        Err(_) => return,
                    }
                    earlier += 1;
                }
            });
        }
    });
    address
}

// ---------------------------------------------------------------------------------------------
// Processes of the system

/// A running front, started with the command of the deploy file.
pub struct Front {
    pub name: String,
    pub address: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
    folder: PathBuf,
}

impl Front {
    /// Starts a front on a loopback address of its own.
    pub fn start(name: &str, zone: &str, store: SocketAddr) -> Self {
        Self::start_at(&TURULETI, name, zone, store)
    }

    /// Starts a front of another site.
    pub fn start_at(site: &Site, name: &str, zone: &str, store: SocketAddr) -> Self {
        let run = run_command();
        let metrics: u16 = run
            .iter()
            .position(|word| word == "--metrics-port")
            .and_then(|at| run.get(at + 1)?.parse().ok())
            .unwrap_or(9464);
        let (ip, port) = free_address(metrics);
        let at = |offset: u16| SocketAddr::new(ip, port + offset);
        let stamp = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_nanos());
        let folder = std::env::temp_dir().join(format!("review-3-{}-{stamp}", std::process::id()));
        let settings = folder.join("node.toml");
        let text = settings_text(site, name, zone, ip, port, store);
        let written = fs::create_dir_all(&folder).and_then(|()| fs::write(&settings, text));
        let log = File::create(folder.join("log"));
        let (Ok(()), Ok(log)) = (written, log) else { cannot_run("temporary folder") };
        let child = spawn(&run, &settings, log);
        Self { name: name.to_owned(), address: at(0), ready: at(1), child, folder }
    }

    /// Waits for the process to exit and starts it again, as the platform does.
    pub fn restart(&mut self) {
        let _ = self.child.wait();
        CHILDREN.lock().unwrap().retain(|pid| *pid != self.child.id());
        let log = File::options().append(true).open(self.folder.join("log"));
        let log = log.unwrap_or_else(|_| cannot_run("log"));
        self.child = spawn(&run_command(), &self.folder.join("node.toml"), log);
    }

    /// Waits until the front says that it is ready.
    pub fn wait_until_ready(&mut self) {
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                break;
            }
            if is_ready(self.ready).unwrap_or(false) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        let log = fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        self.end();
        cannot_run(&format!("{} did not become ready\n{log}", self.name));
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status();
        if !sent.is_ok_and(|status| status.success()) {
            cannot_run("the signal could not be sent");
        }
    }

    /// Ends the process and removes its folder.
    pub fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        CHILDREN.lock().unwrap().retain(|pid| *pid != self.child.id());
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.end();
    }
}

fn spawn(run: &[String], settings: &std::path::Path, log: File) -> Child {
    let child = Command::new(&run[0])
        .args(&run[1..])
        .env("JACKDAWMUX_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap_or_else(|_| cannot_run("log")))
        .stderr(log)
        .spawn()
        .unwrap_or_else(|_| cannot_run("the program of the deploy file is not built"));
    CHILDREN.lock().unwrap().push(child.id());
    child
}

/// Words of `run` in the deploy file.
fn run_command() -> Vec<String> {
    let text = fs::read_to_string("deploy/system.toml").unwrap_or_default();
    let line = text.lines().find_map(|line| line.trim().strip_prefix("run = \""));
    let words: Vec<String> = line
        .unwrap_or_default()
        .trim_end_matches('"')
        .split_whitespace()
        .map(str::to_owned)
        .collect();
    if words.is_empty() {
        cannot_run("deploy/system.toml has no command");
    }
    words
}

/// Finds a loopback address with five free ports in a row and a free port for metrics.
fn free_address(metrics: u16) -> (IpAddr, u16) {
    static NEXT: OnceLock<Mutex<u32>> = OnceLock::new();
    let seed = std::process::id() ^ SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.subsec_nanos());
    let mut next = NEXT.get_or_init(|| Mutex::new(seed)).lock().unwrap();
    for _ in 0..2_000 {
        *next = next.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let draw = *next >> 8;
        let ip = IpAddr::V4(Ipv4Addr::new(127, 77, (draw >> 8 & 0xff) as u8, (draw & 0xff).clamp(1, 254) as u8));
        let port = 21_000 + (draw % 9_000) as u16;
        let ports = (port..port + 5).chain([metrics]);
        let is_free = ports.into_iter().all(|port| {
            TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok()
        });
        if is_free {
            return (ip, port);
        }
    }
    cannot_run("no free ports")
}

fn settings_text(
    site: &Site,
    name: &str,
    zone: &str,
    ip: IpAddr,
    port: u16,
    store: SocketAddr,
) -> String {
    let region = site.zones.iter().find(|(found, _)| *found == zone).map_or("", |(_, region)| *region);
    let zones: Vec<String> =
        site.zones.iter().map(|(zone, region)| format!("{zone} = \"{region}\"")).collect();
    let zones = zones.join("\n");
    format!(
        r#"node = "{name}"
role = "front"
machineClass = "front"
serves = ["front","directory"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
internalPorts = [{internal},{internal_last}]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "directory"
heartbeat = "1500ms"
contracts = ["base","drain","config","cost","retry","recover","health","pool","places","platform"]
[zones]
{zones}
[listen]
front = "{ip}:{port}"
ready = "{ip}:{ready}"
directory = "{ip}:{directory}"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 512
maxFds = 8192
linkMbps = 200.0
diskMb = 0
[tolerate]
machines = 1
zones = 1
regions = 1
[bounds]
seedLag = "3s"
reuseAfter = "2s"
stabilityWindow = "{stability}ms"
ack = "5000ms"
catchUp = "6s"
drain = "{drain}ms"
grace = "{grace}s"
lossSlack = "200ms"
configApply = "{apply}ms"
rollbackSlack = "250ms"
maxStretch = "5000ms"
retryBudgetRatio = 0.2
budgetWindow = "10s"
retryBudgetSlack = {retry_slack}
coldMultiplier = 1.5
coldSlack = {cold_slack}
evacuation = "5000ms"
recovery = "15s"
ttl_max = "5s"
maxShiftFraction = 0.15
[platform]
address = "{store}"
form = "objects"
writesPerS = 1200
readsPerS = 6000
history = "20s"
maxValueBytes = 1048576
minTtl = "1000ms"
"#,
        ready = port + 1,
        directory = port + 2,
        internal = port + 3,
        internal_last = port + 4,
        drain = site.drain_ms,
        apply = site.apply_ms,
        stability = site.stability_ms,
        retry_slack = site.retry_slack,
        cold_slack = site.cold_slack,
        grace = GRACE.as_secs(),
    )
}

fn is_ready(address: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
    let message = Message::read_head(&mut stream, Vec::new())?;
    Ok(message.is_some_and(|message| message.word() == "200"))
}
