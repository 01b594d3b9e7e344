//! Uploads that a caller sends to a front a few seconds after its SIGTERM, while its lookup still
//! names the front.

#[path = "../common-2/lab.rs"]
mod lab;

use lab::*;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVICE: &str = "photo-intake";
/// Planned stops of `cupreturn-kr-large`: `grace_s = 10.0`.
const GRACE: Duration = Duration::from_secs(10);
/// Time limit of `batch-photo` there.
const CLIENT_LIMIT: Duration = Duration::from_millis(8_000);
/// Work of one upload: the sheet's mean is 1,520 ms and its maximum 4,560 ms.
const WORK: Duration = Duration::from_millis(4_500);
/// When the uploads are sent, after the SIGTERM.
const SENT_AT_MS: [u64; 6] = [4_600, 4_660, 4_720, 4_780, 4_840, 4_900];

#[derive(Clone, Debug)]
struct Run {
    attempt: String,
    cut: Option<Duration>,
    answered: Option<Duration>,
}

struct Endpoint {
    id: &'static str,
    runs: Mutex<Vec<Run>>,
    record: Arc<Record>,
}

impl Endpoint {
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(request)) = read_message(&mut stream, &mut rest) {
            let attempt = request.header("x-attempt-id").to_owned();
            if request.header("x-expect-instance") != self.id {
                return;
            }
            let index = {
                let mut runs = self.runs.lock().unwrap();
                runs.push(Run { attempt: attempt.clone(), cut: None, answered: None });
                runs.len() - 1
            };
            self.record.note(format!("{attempt}: endpoint {} begins to work on it", self.id));
            let ends = Instant::now() + WORK;
            let _ = stream.set_read_timeout(Some(Duration::from_millis(10)));
            while Instant::now() < ends {
                // Most endpoints drop a request when its channel closes.
                let mut byte = [0; 1];
                match stream.peek(&mut byte) {
                    Ok(0) => {
                        self.runs.lock().unwrap()[index].cut = Some(self.record.at());
                        self.record.note(format!(
                            "{attempt}: its channel is closed while endpoint {} works",
                            self.id
                        ));
                        return;
                    }
                    Ok(_) => thread::sleep(Duration::from_millis(10)),
                    Err(_) => {}
                }
            }
            let _ = stream.set_read_timeout(None);
            let reply = endpoint_response(
                "200 OK",
                &attempt,
                "X-Response-Stamp: 3e1b.07\r\nX-Server-Load: 1,0,6\r\n",
                format!("stored {} bytes of {attempt}", request.body.len()).as_bytes(),
            );
            if stream.write_all(&reply).is_ok() {
                self.runs.lock().unwrap()[index].answered = Some(self.record.at());
                self.record.note(format!("{attempt}: endpoint {} has answered", self.id));
            }
        }
    }
}

fn main() {
    let (folder, is_troubled) = case_arguments();
    let scratch = Scratch::new("late-stop");
    let record = Record::new();
    let store = Store::new();
    let door = store.open_door();
    let route = Route {
        name: "batch-photo",
        prefix: "/photos/",
        kind: "upload",
        timeout_ms: 8_000,
        service: SERVICE,
        max_attempts: 2,
        is_sticky: true,
    };
    store.put("config", "main", &manifest(7, &[route], &[SERVICE]), "null");
    let mut endpoints = Vec::new();
    for (index, id) in ["i-0a", "i-0b", "i-0c"].into_iter().enumerate() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the endpoint binds a port");
        let address = listener.local_addr().expect("it has an address");
        let endpoint =
            Arc::new(Endpoint { id, runs: Mutex::default(), record: Arc::clone(&record) });
        let shared = Arc::clone(&endpoint);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.serve(stream));
            }
        });
        let spec = endpoint_spec(address, SERVICE, "sudogwon-a", 6, unix_ms() - 60_000);
        store.put("servers", id, &spec, &endpoint_status("ready", 10 + index as u64, 0));
        endpoints.push(endpoint);
    }
    let zones = [("sudogwon-a", "sudogwon"), ("sudogwon-b", "sudogwon")];
    let names = ["front-sudogwon-a-1", "front-sudogwon-b-1"];
    let mut fronts: Vec<Front> = names
        .iter()
        .zip(["sudogwon-a", "sudogwon-b"])
        .map(|(name, zone)| {
            let plan = FrontPlan {
                name,
                zone,
                zones: &zones,
                store: door.address,
                bounds: "",
                grace_s: GRACE.as_secs(),
            };
            Front::start(&plan, &scratch.0)
        })
        .collect();
    fronts.iter().for_each(Front::wait_until_ready);
    thread::sleep(Duration::from_secs(5));
    // The callers look up where to connect just before the stop. Some keep a response for three
    // times its `ttl`.
    let mut directory = connect(fronts[1].directory).expect("the directory accepts");
    let lookup =
        b"GET /resolve?name=a.example&region=sudogwon&zone=sudogwon-a HTTP/1.1\r\nHost: x\r\n\r\n";
    let reply = exchange(&mut directory, lookup, Duration::from_secs(1))
        .unwrap_or_else(|| cannot_run("no lookup"));
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    record.note(format!("the directory answers {text}"));
    if !text.contains(&fronts[0].address.to_string()) {
        cannot_run("the lookup does not name the first front");
    }
    let ttl = json_member(&text, "ttl").unwrap_or("").trim_matches('"').to_owned();
    let ttl_ms = ttl.strip_suffix("ms").and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    if ttl_ms * 3 < SENT_AT_MS[SENT_AT_MS.len() - 1] {
        cannot_run("the lookup does not last");
    }
    let term_at = record.at();
    if is_troubled {
        record.note("SIGTERM to front-sudogwon-a-1");
        fronts[0].signal(SIGTERM);
    }
    let address = fronts[0].address;
    let callers: Vec<_> = SENT_AT_MS
        .into_iter()
        .enumerate()
        .map(|(index, at_ms)| {
            let record = Arc::clone(&record);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(at_ms));
                let attempt = format!("photo{index}");
                let request = client_request(
                    "POST",
                    "/photos/a",
                    &attempt,
                    &index.to_string(),
                    CLIENT_LIMIT.as_millis() as u64,
                    &[b'p'; 60_000],
                );
                let sent = record.at();
                record.note(format!("{attempt}: the client sends it"));
                let reply = connect(address)
                    .ok()
                    .and_then(|mut stream| exchange(&mut stream, &request, CLIENT_LIMIT));
                let ended = record.at();
                match &reply {
                    Some(reply) => record.note(format!(
                        "{attempt}: the client gets {} after {} ms, stamp {:?}: {}",
                        reply.status(),
                        (ended - sent).as_millis(),
                        reply.header("x-response-stamp"),
                        String::from_utf8_lossy(&reply.body)
                    )),
                    None => record
                        .note(format!("{attempt}: the client's channel ends without an answer")),
                }
                (attempt, sent, ended, reply)
            })
        })
        .collect();
    let results: Vec<_> =
        callers.into_iter().map(|caller| caller.join().expect("the caller ends")).collect();
    if is_troubled {
        record.note(format!("front-sudogwon-a-1 has ended: {}", fronts[0].wait()));
    }
    let mut broken = 0;
    for (attempt, sent, ended, reply) in results {
        let is_own = reply
            .as_ref()
            .is_none_or(|reply| !reply.is_complete || reply.header("x-response-stamp").is_empty());
        let runs: Vec<Run> =
            endpoints.iter().flat_map(|endpoint| endpoint.runs.lock().unwrap().clone()).collect();
        let run = runs.iter().find(|run| run.attempt == attempt);
        let was_at_work = run.is_some_and(|run| run.answered.is_none());
        // Excused are the client's time limit, which is also the route's timeout, and requests sent no
        // later than 3 s after the SIGTERM. The rule covers the time until 1 s after `grace`.
        let is_excused = ended - sent >= CLIENT_LIMIT
            || sent <= term_at + Duration::from_secs(3)
            || ended > term_at + GRACE + Duration::from_secs(1);
        broken += usize::from(is_troubled && is_own && was_at_work && !is_excused);
    }
    record.note(format!(
        "LOST: {broken} of {} uploads broken off while their endpoint was at work",
        SENT_AT_MS.len()
    ));
    for line in fronts[0].log_lines("event=request ") {
        record.note(format!("log: {line}"));
    }
    record.write(&folder.join("record.txt"));
    drop(fronts);
    drop(scratch);
    std::process::exit(i32::from(broken > 0));
}
