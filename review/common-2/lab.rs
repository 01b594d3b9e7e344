//! A small deployment on loopback addresses: stand-ins for the platform's store, endpoints and
//! callers, and the project's fronts as separate processes. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: i32 = 9;
pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;

/// Milliseconds since 1970, as endpoints state their start.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

// ---------------------------------------------------------------------------------------------
// Record

/// Events of a run, written to `record.txt`.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        Arc::new(Self { start: Instant::now(), lines: Mutex::default() })
    }

    pub fn at(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        self.lines.lock().unwrap().push(format!("{at:9.3} s  {}", text.as_ref()));
    }

    pub fn write(&self, path: &Path) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        fs::write(path, text).expect("the record is written");
    }
}

// ---------------------------------------------------------------------------------------------
// HTTP messages

/// Head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether all of it arrived.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    fn length(&self) -> usize {
        self.header("content-length").parse().unwrap_or(0)
    }
}

/// Reads the head of a message and the first bytes of its body; none at the end of the stream.
pub fn read_head(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut buffer = [0; 16 * 1024];
    loop {
        if let Some(end) = rest.windows(4).position(|window| window == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&rest[..end]).into_owned();
            let mut lines = text.split("\r\n");
            let line = lines.next().unwrap_or("").to_owned();
            let headers = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
                .collect();
            rest.drain(..end + 4);
            return Ok(Some(Message { line, headers, body: Vec::new(), is_complete: false }));
        }
        match stream.read(&mut buffer)? {
            0 => return Ok(None),
            count => rest.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Reads a chunked body, or one of the stated length.
pub fn read_body(
    stream: &mut TcpStream,
    rest: &mut Vec<u8>,
    message: &mut Message,
) -> io::Result<()> {
    let mut buffer = [0; 64 * 1024];
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let line = loop {
                if let Some(end) = rest.windows(2).position(|window| window == b"\r\n") {
                    let line = String::from_utf8_lossy(&rest[..end]).into_owned();
                    rest.drain(..end + 2);
                    break line;
                }
                match stream.read(&mut buffer)? {
                    0 => return Ok(()),
                    count => rest.extend_from_slice(&buffer[..count]),
                }
            };
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            while rest.len() < size + 2 {
                match stream.read(&mut buffer)? {
                    0 => return Ok(()),
                    count => rest.extend_from_slice(&buffer[..count]),
                }
            }
            message.body.extend_from_slice(&rest[..size]);
            rest.drain(..size + 2);
            if size == 0 {
                message.is_complete = true;
                return Ok(());
            }
        }
    }
    let length = message.length();
    while rest.len() < length {
        match stream.read(&mut buffer)? {
            0 => {
                message.body.append(rest);
                return Ok(());
            }
            count => rest.extend_from_slice(&buffer[..count]),
        }
    }
    message.body.extend(rest.drain(..length));
    message.is_complete = true;
    Ok(())
}

pub fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(stream, rest)? else {
        return Ok(None);
    };
    read_body(stream, rest, &mut message)?;
    Ok(Some(message))
}

// ---------------------------------------------------------------------------------------------
// JSON: enough to take apart what the fronts write

/// Returns the raw text of a member of a JSON object.
pub fn json_member<'text>(text: &'text str, name: &str) -> Option<&'text str> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(bytes, at);
        if bytes.get(at) != Some(&b'"') {
            return None;
        }
        let key_end = skip_value(bytes, at)?;
        let key = &text[at + 1..key_end - 1];
        at = skip_space(bytes, key_end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        let start = skip_space(bytes, at + 1);
        let end = skip_value(bytes, start)?;
        if key == name {
            return Some(&text[start..end]);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b',') {
            return None;
        }
        at += 1;
    }
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(|byte| byte.is_ascii_whitespace()) {
        at += 1;
    }
    at
}

fn skip_value(bytes: &[u8], start: usize) -> Option<usize> {
    let (mut at, mut depth, mut in_text) = (start, 0_usize, false);
    while at < bytes.len() {
        let byte = bytes[at];
        if in_text {
            match byte {
                b'\\' => at += 1,
                b'"' => {
                    in_text = false;
                    if depth == 0 {
                        return Some(at + 1);
                    }
                }
                _ => {}
            }
        } else {
            match byte {
                b'"' => in_text = true,
                b'{' | b'[' => depth += 1,
                b'}' | b']' if depth == 0 => return Some(at),
                b'}' | b']' => {
                    depth -= 1;
                    if depth == 0 {
                        return Some(at + 1);
                    }
                }
                b',' if depth == 0 => return Some(at),
                _ => {}
            }
        }
        at += 1;
    }
    Some(at)
}

fn json_text(text: &str) -> String {
    text.trim_matches('"').to_owned()
}

// ---------------------------------------------------------------------------------------------
// Store

#[derive(Clone)]
struct StoredObject {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

impl StoredObject {
    fn json(&self, name: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\
             \"finalizers\":[],\"deletionStarted\":false}},\"spec\":{},\"status\":{}}}",
            self.revision, self.created, self.spec, self.status
        )
    }
}

#[derive(Default)]
struct StoreData {
    revision: u64,
    objects: BTreeMap<(String, String), StoredObject>,
    /// Revision, kind and event of each change.
    history: Vec<(u64, String, String)>,
}

/// How a store answers the calls on one of its addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    Serving,
    /// Every call gets 503.
    Busy,
    /// No call gets an answer.
    Silent,
}

/// The platform's store. It may listen on several addresses, each with a mode of its own.
pub struct Store {
    data: Mutex<StoreData>,
    changed: Condvar,
}

/// One address of the store.
pub struct StoreDoor {
    pub address: SocketAddr,
    mode: Mutex<StoreMode>,
    store: Arc<Store>,
}

impl Store {
    pub fn new() -> Arc<Self> {
        let data = StoreData { revision: 500, ..StoreData::default() };
        Arc::new(Self { data: Mutex::new(data), changed: Condvar::new() })
    }

    /// Opens an address.
    pub fn open_door(self: &Arc<Self>) -> Arc<StoreDoor> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the store binds a port");
        let address = listener.local_addr().expect("the listener has an address");
        let mode = Mutex::new(StoreMode::Serving);
        let door = Arc::new(StoreDoor { address, mode, store: Arc::clone(self) });
        let shared = Arc::clone(&door);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.serve(stream));
            }
        });
        door
    }

    /// Creates or replaces an object.
    pub fn put(&self, kind: &str, name: &str, spec: &str, status: &str) {
        let mut data = self.data.lock().unwrap();
        self.write(&mut data, kind, name, Some(spec), Some(status));
    }

    pub fn put_status(&self, kind: &str, name: &str, status: &str) {
        let mut data = self.data.lock().unwrap();
        self.write(&mut data, kind, name, None, Some(status));
    }

    pub fn delete(&self, kind: &str, name: &str) -> bool {
        let mut data = self.data.lock().unwrap();
        let Some(object) = data.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        data.revision += 1;
        let event = format!("{{\"deleted\":true,\"object\":{}}}", object.json(name));
        let revision = data.revision;
        data.history.push((revision, kind.to_owned(), event));
        self.changed.notify_all();
        true
    }

    fn write(
        &self,
        data: &mut StoreData,
        kind: &str,
        name: &str,
        spec: Option<&str>,
        status: Option<&str>,
    ) -> String {
        let key = (kind.to_owned(), name.to_owned());
        let known = data.objects.get(&key).cloned();
        let spec = spec.map(str::to_owned).or(known.as_ref().map(|known| known.spec.clone()));
        let status = status.map(str::to_owned).or(known.as_ref().map(|known| known.status.clone()));
        let (spec, status) =
            (spec.unwrap_or("null".to_owned()), status.unwrap_or("null".to_owned()));
        if let Some(known) =
            known.as_ref().filter(|known| known.spec == spec && known.status == status)
        {
            return known.json(name);
        }
        data.revision += 1;
        let revision = data.revision;
        let created = known.map_or(revision, |known| known.created);
        let object = StoredObject { revision, created, spec, status };
        let json = object.json(name);
        data.objects.insert(key, object);
        let event = format!("{{\"deleted\":false,\"object\":{json}}}");
        data.history.push((revision, kind.to_owned(), event));
        self.changed.notify_all();
        json
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        const PAGE: usize = 500;
        let data = self.data.lock().unwrap();
        let matching = data.objects.iter().filter(|((other, name), _)| {
            other == kind && (after.is_empty() || name.as_str() > after)
        });
        let all: Vec<String> = matching.map(|((_, name), object)| object.json(name)).collect();
        let items = all.iter().take(PAGE).cloned().collect::<Vec<_>>().join(",");
        let has_more = all.len() > PAGE;
        let at = data.revision;
        (200, format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"at\":{at}}}"))
    }

    fn watch(
        &self,
        kind: &str,
        from: u64,
        wait: Duration,
        door: &StoreDoor,
    ) -> Option<(u16, String)> {
        let deadline = Instant::now() + wait;
        let mut data = self.data.lock().unwrap();
        loop {
            match door.mode() {
                StoreMode::Serving => {}
                StoreMode::Busy => return Some((503, String::new())),
                StoreMode::Silent => return None,
            }
            if from > data.revision {
                return Some((410, String::new()));
            }
            let events = data.history.iter().filter(|(at, other, _)| *at > from && other == kind);
            let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline {
                let (events, at) = (events.join(","), data.revision);
                return Some((200, format!("{{\"events\":[{events}],\"at\":{at}}}")));
            }
            let step = (deadline - now).min(Duration::from_millis(100));
            data = self.changed.wait_timeout(data, step).unwrap().0;
        }
    }
}

impl StoreDoor {
    pub fn set_mode(&self, mode: StoreMode) {
        *self.mode.lock().unwrap() = mode;
        self.store.changed.notify_all();
    }

    fn mode(&self) -> StoreMode {
        *self.mode.lock().unwrap()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(request)) = read_message(&mut stream, &mut rest) {
            let reply = match self.mode() {
                StoreMode::Serving => self.reply(&request),
                StoreMode::Busy => Some((503, String::new())),
                StoreMode::Silent => None,
            };
            // A channel on which a response is lost returns nothing further.
            let Some((status, body)) = reply.filter(|_| self.mode() != StoreMode::Silent) else {
                while matches!(stream.read(&mut [0; 4096]), Ok(1..)) {}
                return;
            };
            thread::sleep(Duration::from_millis(4));
            let text = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn reply(&self, request: &Message) -> Option<(u16, String)> {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let parts: Vec<&str> = path.trim_start_matches("/objects/").split('/').collect();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let store = &self.store;
        let spec = json_member(&body, "spec");
        match (request.method(), parts.as_slice()) {
            ("GET", [kind]) => match query.get("watch").and_then(|text| text.parse().ok()) {
                Some(from) => {
                    let wait = query.get("waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                    store.watch(kind, from, Duration::from_millis(wait), self)
                }
                None => Some(store.list(kind, query.get("after").copied().unwrap_or(""))),
            },
            ("GET", [kind, name]) => {
                let data = store.data.lock().unwrap();
                let object = data.objects.get(&((*kind).to_owned(), (*name).to_owned()));
                Some(object.map_or((404, String::new()), |object| (200, object.json(name))))
            }
            ("POST", [kind]) => {
                let name =
                    json_member(&body, "metadata").and_then(|text| json_member(text, "name"));
                let name = json_text(name.unwrap_or("\"\""));
                let mut data = store.data.lock().unwrap();
                match data.objects.get(&((*kind).to_owned(), name.clone())) {
                    Some(object) => Some((409, object.json(&name))),
                    None => Some((200, store.write(&mut data, kind, &name, spec, None))),
                }
            }
            ("PUT", [kind, name]) => {
                let mut data = store.data.lock().unwrap();
                if !data.objects.contains_key(&((*kind).to_owned(), (*name).to_owned())) {
                    return Some((404, String::new()));
                }
                Some((200, store.write(&mut data, kind, name, spec, None)))
            }
            ("DELETE", [kind, name]) => Some(if store.delete(kind, name) {
                (200, "{}".into())
            } else {
                (404, String::new())
            }),
            _ => Some((400, String::new())),
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Endpoints

/// Spec of an endpoint's entry.
pub fn endpoint_spec(
    address: SocketAddr,
    service: &str,
    zone: &str,
    slots: u32,
    born: u64,
) -> String {
    format!(
        "{{\"address\":\"{address}\",\"born\":{born},\"info\":{{\"service\":\"{service}\",\
         \"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":{slots}}}}}"
    )
}

/// Status of an endpoint's entry.
pub fn endpoint_status(state: &str, sequence: u64, cold_ms: u64) -> String {
    format!("{{\"state\":\"{state}\",\"sequence\":{sequence},\"coldLeft\":\"{cold_ms}ms\"}}")
}

/// Head and body of an endpoint's response to an attempt.
pub fn endpoint_response(status: &str, attempt: &str, extra: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\n{extra}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

// ---------------------------------------------------------------------------------------------
// Fronts

/// A front process.
pub struct Front {
    pub name: String,
    pub address: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// Where a front runs and what it is told.
pub struct FrontPlan<'plan> {
    pub name: &'plan str,
    pub zone: &'plan str,
    pub zones: &'plan [(&'plan str, &'plan str)],
    pub store: SocketAddr,
    /// Lines of the table `bounds`.
    pub bounds: &'plan str,
    pub grace_s: u64,
}

static NEXT_HOST: AtomicU64 = AtomicU64::new(0);

/// A loopback address on which the metrics port is free.
fn free_host() -> Ipv4Addr {
    let seed = u64::from(std::process::id());
    loop {
        let next = seed * 7 + NEXT_HOST.fetch_add(1, Ordering::Relaxed);
        let host = Ipv4Addr::new(127, 60, (next / 200 % 250) as u8 + 1, (next % 200) as u8 + 2);
        if TcpListener::bind((host, 9464)).is_ok() {
            return host;
        }
    }
}

/// A port range that is free on a host.
fn free_port(host: Ipv4Addr) -> u16 {
    (20_000..60_000)
        .step_by(37)
        .find(|port| (0..8).all(|offset| TcpListener::bind((host, port + offset)).is_ok()))
        .expect("a range of free ports")
}

impl Front {
    pub fn start(plan: &FrontPlan<'_>, folder: &Path) -> Self {
        let host = free_host();
        let port = free_port(host);
        let address = |offset: u16| SocketAddr::new(IpAddr::V4(host), port + offset);
        let zones: String =
            plan.zones.iter().map(|(zone, region)| format!("{zone} = \"{region}\"\n")).collect();
        let region = plan.zones.iter().find(|(zone, _)| *zone == plan.zone).map_or("", |(_, r)| *r);
        let text = format!(
            "node = \"{name}\"\nrole = \"front\"\nmachineClass = \"front\"\n\
             serves = [\"front\",\"directory\"]\nip = \"{host}\"\nzone = \"{zone}\"\n\
             region = \"{region}\"\ninternalPorts = [{first},{last}]\nseeds = []\nbootstrap = true\n\
             discovery = \"platform\"\nentry = \"directory\"\nheartbeat = \"1500ms\"\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"places\",\"platform\"]\n\
             [zones]\n{zones}\
             [listen]\nfront = \"{front}\"\nready = \"{ready}\"\ndirectory = \"{directory}\"\n\
             [limits]\ncpuShare = 0.4\ncores = 1\nmemoryMb = 520\nmaxFds = 8200\nlinkMbps = 1000.0\ndiskMb = 0\n\
             [tolerate]\nmachines = 1\nzones = 1\nregions = 1\n\
             [bounds]\nseedLag = \"3s\"\nreuseAfter = \"2s\"\nstabilityWindow = \"3000ms\"\nack = \"4000ms\"\n\
             catchUp = \"4s\"\ndrain = \"2500ms\"\ngrace = \"{grace}s\"\nlossSlack = \"200ms\"\n\
             configApply = \"2500ms\"\nrollbackSlack = \"250ms\"\nmaxStretch = \"5000ms\"\n\
             retryBudgetRatio = 0.2\nbudgetWindow = \"10s\"\nretryBudgetSlack = 62\ncoldMultiplier = 1.5\n\
             coldSlack = 5\nevacuation = \"5000ms\"\nrecovery = \"15s\"\nttl_max = \"5s\"\nmaxShiftFraction = 0.15\n{bounds}\
             [platform]\naddress = \"{store}\"\nform = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\n\
             history = \"20s\"\nmaxValueBytes = 1048576\nminTtl = \"1000ms\"\n",
            name = plan.name,
            zone = plan.zone,
            first = port + 3,
            last = port + 7,
            front = address(0),
            ready = address(1),
            directory = address(2),
            grace = plan.grace_s,
            bounds = plan.bounds,
            store = plan.store,
        );
        let settings = folder.join(format!("{}.toml", plan.name));
        fs::write(&settings, text).expect("the settings file is written");
        let log = folder.join(format!("{}.log", plan.name));
        let child = Self::spawn(&settings, &log);
        Self {
            name: plan.name.to_owned(),
            address: address(0),
            ready: address(1),
            directory: address(2),
            settings,
            log,
            child,
        }
    }

    /// Starts the program with the command of the deploy file.
    fn spawn(settings: &Path, log: &Path) -> Child {
        let log = File::options().create(true).append(true).open(log).expect("the log is opened");
        let mut command = Command::new("target/release/jackdawmux");
        // SAFETY: `prctl` with constants is safe between fork and exec. It ends the front if this
        // process is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .args(["front", "--metrics-port", "9464"])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("JACKDAWMUX_NODE_FILE", settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().expect("the log is shared")))
            .stderr(Stdio::from(log))
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("target/release/jackdawmux: {error}")));
        CHILDREN.lock().unwrap().push(child.id());
        child
    }

    /// Changes the settings file, which is replaced as a whole.
    pub fn replace_setting(&self, from: &str, to: &str) {
        let text = fs::read_to_string(&self.settings).expect("the settings file is read");
        let next = self.settings.with_extension("next");
        fs::write(&next, text.replace(from, to)).expect("the settings file is written");
        fs::rename(&next, &self.settings).expect("the settings file is replaced");
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Waits until the process has ended, and returns how.
    pub fn wait(&mut self) -> String {
        let ended = self.child.wait();
        forget_child(&self.child);
        ended.map_or_else(|error| error.to_string(), |status| status.to_string())
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        let reply = read_head(&mut stream, &mut Vec::new());
        matches!(reply, Ok(Some(message)) if message.status() == 200)
    }

    pub fn wait_until_ready(&self) {
        let limit = Instant::now() + Duration::from_secs(20);
        while !self.is_ready() {
            if Instant::now() > limit {
                cannot_run(&format!("{} is not ready after 20 s", self.name));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Lines of the log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        forget_child(&self.child);
    }
}

/// Processes that this run has started and that have not ended.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Longest time of a run.
const MAX_RUN: Duration = Duration::from_secs(110);

/// Ends the run and the processes that it started: the case cannot run here.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case cannot run: {reason}");
    for child in CHILDREN.lock().unwrap().iter() {
        // SAFETY: the process is a child that has not been waited for.
        unsafe { kill(*child as i32, SIGKILL) };
    }
    std::process::exit(2);
}

fn forget_child(child: &Child) {
    CHILDREN.lock().unwrap().retain(|known| *known != child.id());
}

// ---------------------------------------------------------------------------------------------
// Manifest

pub struct Route<'text> {
    pub name: &'text str,
    pub prefix: &'text str,
    pub kind: &'text str,
    pub timeout_ms: u64,
    pub service: &'text str,
    pub max_attempts: u32,
    pub is_sticky: bool,
}

/// A manifest with the limits that `fleetbench wire` shows.
pub fn manifest(version: u64, routes: &[Route<'_>], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"name\":\"{}\",\"host\":\"a.example\",\"pathPrefix\":\"{}\",\"kind\":\"{}\",\
                 \"timeout\":\"{}ms\",\"targetLatency\":\"400ms\",\"priority\":1,\"service\":\"{}\",\
                 \"maxAttempts\":{},\"sticky\":{},\"homeRegions\":[]}}",
                route.name,
                route.prefix,
                route.kind,
                route.timeout_ms,
                route.service,
                route.max_attempts,
                route.is_sticky
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":390,\
                 \"protocol\":\"h1\",\"tls\":false,\"coldStart\":\"3s\",\"coldPerS\":14.0}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\
         \"idleTimeout\":\"15000ms\"}}}}",
        routes.join(","),
        services.join(",")
    )
}

// ---------------------------------------------------------------------------------------------
// Callers

/// A request of one client attempt.
pub fn client_request(
    method: &str,
    path: &str,
    attempt: &str,
    object: &str,
    deadline_ms: u64,
    body: &[u8],
) -> Vec<u8> {
    let length =
        if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {attempt}\r\n\
         X-Affinity-Key: {object}\r\nX-Deadline-Ms: {deadline_ms}\r\n{length}\r\n"
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request and reads its response within the client's time limit; none if there is none.
pub fn exchange(stream: &mut TcpStream, request: &[u8], limit: Duration) -> Option<Message> {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(limit));
    let _ = stream.set_write_timeout(Some(limit));
    stream.write_all(request).ok()?;
    read_message(stream, &mut Vec::new()).ok().flatten()
}

pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    TcpStream::connect_timeout(&address, Duration::from_secs(1))
}

/// The folder of the case, and whether its disruption is left out.
pub fn case_arguments() -> (PathBuf, bool) {
    let folder = std::env::args().nth(1).unwrap_or_else(|| cannot_run("no folder is given"));
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    thread::spawn(|| {
        thread::sleep(MAX_RUN);
        cannot_run("it takes too long");
    });
    (PathBuf::from(folder), is_troubled)
}

/// A temporary folder that is removed at the end.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn new(case: &str) -> Self {
        let path = std::env::temp_dir().join(format!("jackdawmux-{case}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("the temporary folder is created");
        Self(path)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A flag that threads share.
pub type Flag = Arc<AtomicBool>;
