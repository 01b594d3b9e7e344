//! Stand-in for the platform's metadata store, as PROTOCOL.md describes it: objects by kind and name,
//! lists, watches, conditional writes and silent outages.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::http::{Channel, Message};
use super::json::Json;

/// Entries of a list page at most.
const PAGE: usize = 500;

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Json,
    status: Json,
}

struct Event {
    revision: u64,
    kind: String,
    text: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Event>,
}

/// A running store.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    is_silent: AtomicBool,
    /// Watches that wait, each with its kind and the time at which it is answered at the latest.
    waiting: Mutex<BTreeMap<u64, (String, Instant)>>,
    next_watch: AtomicU64,
}

fn object_json(name: &str, object: &Object) -> Json {
    let number = |value: u64| Json::Number(value.to_string());
    let metadata = [
        ("name", Json::Text(name.to_owned())),
        ("revision", number(object.revision)),
        ("created", number(object.created)),
        ("finalizers", Json::List(Vec::new())),
        ("deletionStarted", Json::Bool(false)),
    ];
    let metadata = metadata.map(|(name, value)| (name.to_owned(), value));
    Json::Object(BTreeMap::from([
        ("metadata".to_owned(), Json::Object(BTreeMap::from(metadata))),
        ("spec".to_owned(), object.spec.clone()),
        ("status".to_owned(), object.status.clone()),
    ]))
}

/// An endpoint's entry changes when more than its sequence changes.
fn without_sequence(status: &Json) -> Json {
    match status {
        Json::Object(fields) => {
            let kept = fields.iter().filter(|(name, _)| name.as_str() != "sequence");
            Json::Object(kept.map(|(name, value)| (name.clone(), value.clone())).collect())
        }
        other => other.clone(),
    }
}

impl Store {
    /// Starts a store on a free port of a loopback address.
    pub fn start(ip: &str) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("the store binds a port");
        let address = listener.local_addr().expect("the listener has an address");
        let store = Arc::new(Self {
            address,
            state: Mutex::new(State { revision: 1, ..State::default() }),
            changed: Condvar::new(),
            is_silent: AtomicBool::new(false),
            waiting: Mutex::default(),
            next_watch: AtomicU64::new(0),
        });
        let shared = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&shared);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// While the store is silent it answers nothing. A call that came, or was due to be answered, meanwhile is
    /// never answered, and its channel returns nothing further.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::SeqCst);
    }

    /// When the watches of a kind that wait now are answered at the latest.
    pub fn watches_due(&self, kind: &str) -> Vec<Instant> {
        let waiting = self.waiting.lock().unwrap();
        waiting.values().filter(|(other, _)| other == kind).map(|(_, due)| *due).collect()
    }

    /// Creates or replaces an object. A write that changes nothing is no event.
    pub fn put(&self, kind: &str, name: &str, spec: Option<&str>, status: Option<&str>) {
        let parse = |text: &str| Json::parse(text).expect("the stand-in writes JSON");
        self.write(kind, name, spec.map(parse), status.map(parse));
    }

    fn write(&self, kind: &str, name: &str, spec: Option<Json>, status: Option<Json>) -> Json {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let revision = state.revision + 1;
        let fresh = Object { revision, created: revision, spec: Json::Null, status: Json::Null };
        let is_new = !state.objects.contains_key(&key);
        let mut object = state.objects.get(&key).cloned().unwrap_or(fresh);
        let before = (object.spec.clone(), without_sequence(&object.status));
        object.spec = spec.unwrap_or(object.spec);
        object.status = status.unwrap_or(object.status);
        if !is_new && before == (object.spec.clone(), without_sequence(&object.status)) {
            let json = object_json(name, &object);
            state.objects.insert(key, object);
            return json;
        }
        object.revision = revision;
        let json = object_json(name, &object);
        state.revision = revision;
        state.objects.insert(key, object);
        let text = format!("{{\"deleted\":false,\"object\":{}}}", json.encode());
        state.history.push(Event { revision, kind: kind.to_owned(), text });
        drop(state);
        self.changed.notify_all();
        json
    }

    /// Removes an object. Returns whether it existed.
    pub fn remove(&self, kind: &str, name: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        state.revision += 1;
        let revision = state.revision;
        let json = object_json(name, &object).encode();
        let text = format!("{{\"deleted\":true,\"object\":{json}}}");
        state.history.push(Event { revision, kind: kind.to_owned(), text });
        drop(state);
        self.changed.notify_all();
        true
    }

    fn serve(&self, stream: TcpStream) {
        let mut channel = Channel::new(stream);
        while let Ok(request) = channel.read() {
            let was_silent = self.is_silent.load(Ordering::SeqCst);
            let (status, body) = self.answer(&request);
            if was_silent || self.is_silent.load(Ordering::SeqCst) {
                // Whatever arrives on this channel is read and never answered.
                while channel.read().is_ok() {}
                return;
            }
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: 0\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            if channel.write(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let target = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        match (request.method(), parts.as_slice()) {
            ("GET", ["objects", kind]) => {
                match query.get("watch").and_then(|text| text.parse().ok()) {
                    Some(position) => self.watch(kind, position, &query),
                    None => ("200 OK", self.list(kind, query.get("after").copied().unwrap_or(""))),
                }
            }
            ("GET", ["objects", kind, name]) => {
                let state = self.state.lock().unwrap();
                match state.objects.get(&((*kind).to_owned(), (*name).to_owned())) {
                    Some(object) => ("200 OK", object_json(name, object).encode()),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("POST", ["objects", kind]) => {
                let name = body.get("metadata").and_then(|meta| meta.get("name")?.text());
                let name = name.unwrap_or("").to_owned();
                let key = ((*kind).to_owned(), name.clone());
                let existing = self.state.lock().unwrap().objects.get(&key).cloned();
                if let Some(object) = existing {
                    return ("409 Conflict", object_json(&name, &object).encode());
                }
                ("200 OK", self.write(kind, &name, body.get("spec").cloned(), None).encode())
            }
            ("PUT", ["objects", kind, name, rest @ ..]) => {
                let key = ((*kind).to_owned(), (*name).to_owned());
                let existing = self.state.lock().unwrap().objects.get(&key).cloned();
                let Some(object) = existing else {
                    return ("404 Not Found", "{}".to_owned());
                };
                let named = body.get("metadata").and_then(|meta| meta.get("revision")?.number());
                let named = named.or_else(|| query.get("revision")?.parse().ok());
                if named.is_some_and(|revision| revision != object.revision) {
                    return ("409 Conflict", object_json(name, &object).encode());
                }
                let written = if rest == ["status"] {
                    self.write(kind, name, None, body.get("status").cloned())
                } else {
                    self.write(kind, name, body.get("spec").cloned(), None)
                };
                ("200 OK", written.encode())
            }
            ("DELETE", ["objects", kind, name]) => {
                if self.remove(kind, name) {
                    ("200 OK", "{}".to_owned())
                } else {
                    ("404 Not Found", "{}".to_owned())
                }
            }
            _ => ("400 Bad Request", "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let state = self.state.lock().unwrap();
        let of_kind = |key: &(String, String)| key.0 == kind && key.1.as_str() > after;
        let mut found = state.objects.iter().filter(|(key, _)| of_kind(key));
        let items: Vec<String> = found
            .by_ref()
            .take(PAGE)
            .map(|((_, name), object)| object_json(name, object).encode())
            .collect();
        let more = found.next().is_some();
        format!("{{\"items\":[{}],\"hasMore\":{more},\"at\":{}}}", items.join(","), state.revision)
    }

    fn watch(
        &self,
        kind: &str,
        position: u64,
        query: &BTreeMap<&str, &str>,
    ) -> (&'static str, String) {
        let wait: u64 = query.get("waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let number = self.next_watch.fetch_add(1, Ordering::SeqCst);
        self.waiting.lock().unwrap().insert(number, (kind.to_owned(), deadline));
        let answer = self.wait_for_events(kind, position, deadline);
        self.waiting.lock().unwrap().remove(&number);
        answer
    }

    fn wait_for_events(
        &self,
        kind: &str,
        position: u64,
        deadline: Instant,
    ) -> (&'static str, String) {
        let mut state = self.state.lock().unwrap();
        if position > state.revision {
            return ("410 Gone", "{}".to_owned());
        }
        loop {
            let events = state.history.iter();
            let events = events.filter(|event| event.revision > position && event.kind == kind);
            let events: Vec<&str> = events.map(|event| event.text.as_str()).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = state.revision;
                return ("200 OK", format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
