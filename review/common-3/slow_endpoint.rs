//! A planned stop while endpoints that are at work on uploads read the body slowly.

use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::Trouble;
use super::harness::{Front, GRACE, Message, Record, Store, answer, manifest, request, start_endpoint};

const ENDPOINTS: usize = 3;
const UPLOADS: usize = 6;
/// Size of an upload. The sheet of the site goes up to 360,000 bytes.
const UPLOAD_BYTES: usize = 300_000;
/// Time limit of an upload on the sheet, and timeout of the route.
const TIME_LIMIT: Duration = Duration::from_secs(5);
/// Time for which an endpoint reads nothing, after the head.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Time that an endpoint needs once it has the body.
const WORK: Duration = Duration::from_millis(100);
/// Time between the uploads and the signal.
const UNTIL_STOP: Duration = Duration::from_millis(200);

/// What an endpoint saw of a request.
#[derive(Clone, Copy, Debug, Default)]
struct Run {
    began: Option<Instant>,
    /// The other side closed or reset the channel while the endpoint was reading.
    cut: Option<Instant>,
    answered: Option<Instant>,
}

/// What a client saw.
struct Outcome {
    attempt: String,
    sent: Instant,
    ended: Instant,
    /// Status of a complete answer.
    status: Option<String>,
    is_stamped: bool,
}

pub fn run(trouble: Trouble, record: &Arc<Record>) -> Vec<String> {
    let store = Store::start();
    store.put("config", "main", &manifest(TIME_LIMIT), "null");
    let runs: Arc<Mutex<HashMap<String, Run>>> = Arc::default();
    for index in 0..ENDPOINTS {
        let (record, runs) = (Arc::clone(record), Arc::clone(&runs));
        let id = format!("i-{index}");
        let name = id.clone();
        let address = start_endpoint(move |stream, message| {
            let attempt = message.header("x-attempt-id").to_owned();
            let note = |change: &dyn Fn(&mut Run)| {
                change(runs.lock().unwrap().entry(attempt.clone()).or_default());
            };
            note(&|run| run.began = Some(Instant::now()));
            record.add(format!("{name} begins to work on {attempt}"));
            if trouble.has_slow_reader && message.word().starts_with("/up/") {
                thread::sleep(PAUSE);
            }
            let reply = answer(&message, b"stored");
            let (body, rest) = message.read_body(stream).inspect_err(|error| {
                note(&|run| run.cut = Some(Instant::now()));
                record.add(format!("{name} is cut off from {attempt}: {error}"));
            })?;
            thread::sleep(WORK);
            record.add(format!("{name} has run {attempt}, {} bytes", body.len()));
            std::io::Write::write_all(stream, &reply)?;
            note(&|run| run.answered = Some(Instant::now()));
            Ok(rest)
        });
        store.register(&id, address, "tln-a");
    }
    let mut fronts = [
        Front::start("front-tln-a-1", "tln-a", store.address),
        Front::start("front-tln-a-2", "tln-a", store.address),
    ];
    fronts.iter_mut().for_each(Front::wait_until_ready);
    // The machines are in touch once they have run for the whole stability window.
    thread::sleep(Duration::from_millis(4_500));
    let address = fronts[0].address;
    let clients: Vec<_> = (0..UPLOADS)
        .map(|index| {
            let record = Arc::clone(record);
            thread::spawn(move || upload(address, index, &record))
        })
        .collect();
    thread::sleep(UNTIL_STOP);
    let stopped = trouble.has_stop.then(|| {
        record.add("SIGTERM to front-tln-a-1");
        fronts[0].signal("-TERM");
        Instant::now()
    });
    let outcomes: Vec<Outcome> =
        clients.into_iter().map(|client| client.join().expect("a client does not panic")).collect();
    // The endpoints read on, and notice what became of their channels.
    thread::sleep(PAUSE + WORK * 2);
    for line in fronts[0].log_lines("event=request ") {
        record.add(format!("log of front-tln-a-1: {line}"));
    }
    judge(stopped, &outcomes, &runs.lock().unwrap())
}

fn upload(address: std::net::SocketAddr, index: usize, record: &Record) -> Outcome {
    let attempt = format!("upload-{index}");
    let text = request("POST", "/up/photo", &attempt, TIME_LIMIT, &vec![b'p'; UPLOAD_BYTES]);
    let sent = Instant::now();
    let answered = TcpStream::connect(address).and_then(|mut stream| {
        stream.set_read_timeout(Some(TIME_LIMIT))?;
        std::io::Write::write_all(&mut stream, &text)?;
        record.add(format!("client sent {attempt}, {UPLOAD_BYTES} bytes"));
        let message = Message::read_head(&mut stream, Vec::new())?;
        let message = message.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        let (status, is_stamped) =
            (message.word().to_owned(), !message.header("x-response-stamp").is_empty());
        message.read_body(&mut stream)?;
        Ok((status, is_stamped))
    });
    record.add(match &answered {
        Ok((status, is_stamped)) => {
            format!("client got {status} for {attempt}, of an endpoint: {is_stamped}")
        }
        Err(error) => format!("client got no complete answer for {attempt}: {error}"),
    });
    let (status, is_stamped) = answered.map_or((None, false), |(status, is)| (Some(status), is));
    Outcome { attempt, sent, ended: Instant::now(), status, is_stamped }
}

/// LOST, around a SIGTERM: a request that was passed on ends without a complete answer, or its
/// endpoint is at work and the front gives an answer of its own in its place.
fn judge(stopped: Option<Instant>, outcomes: &[Outcome], runs: &HashMap<String, Run>) -> Vec<String> {
    let Some(stopped) = stopped else { return Vec::new() };
    let mut breaks = Vec::new();
    for outcome in outcomes {
        let run = runs.get(&outcome.attempt).copied().unwrap_or_default();
        let is_answered = outcome.status.is_some() && outcome.is_stamped;
        let is_passed_on = run.began.is_some();
        // Bounds and excuses of the rule.
        let is_in_window =
            outcome.ended >= stopped && outcome.ended < stopped + GRACE + Duration::from_secs(1);
        let is_in_last_sixth = outcome.ended >= stopped + GRACE * 5 / 6;
        let is_limit_reached = outcome.ended >= outcome.sent + TIME_LIMIT;
        let is_broken_off_by_endpoint = run.answered.is_none() && run.cut.is_none();
        if !is_answered
            && is_passed_on
            && is_in_window
            && !is_in_last_sixth
            && !is_limit_reached
            && !is_broken_off_by_endpoint
        {
            breaks.push(format!(
                "{}: {} {:.2} s after it was sent and {:.2} s after SIGTERM, while its endpoint was at work",
                outcome.attempt,
                outcome.status.as_deref().unwrap_or("no answer"),
                (outcome.ended - outcome.sent).as_secs_f64(),
                (outcome.ended - stopped).as_secs_f64(),
            ));
        }
    }
    breaks
}
