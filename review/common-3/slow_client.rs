//! A planned stop while clients read a long answer slowly.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::Trouble;
use super::harness::{Front, GRACE, Message, Record, Store, answer, manifest, request, start_endpoint};

const CLIENTS: usize = 4;
/// Size of an answer: more than the socket buffers of both sides hold.
const ANSWER_BYTES: usize = 24_000_000;
/// Time limit of unsafe requests on the sheet, and timeout of the route.
const TIME_LIMIT: Duration = Duration::from_secs(6);
/// Time from the request to when the client reads on, after it has read the head.
const READS_ON: Duration = Duration::from_millis(5_300);
/// Time from the request to the signal.
const UNTIL_STOP: Duration = Duration::from_millis(800);

struct Outcome {
    attempt: String,
    sent: Instant,
    ended: Instant,
    is_complete: bool,
}

pub fn run(trouble: Trouble, record: &Arc<Record>) -> Vec<String> {
    let store = Store::start();
    store.put("config", "main", &manifest(TIME_LIMIT), "null");
    // When the endpoint began to work on a request, and whether its channel was closed meanwhile.
    let began: Arc<Mutex<HashMap<String, bool>>> = Arc::default();
    for index in 0..2 {
        let (record, began) = (Arc::clone(record), Arc::clone(&began));
        let id = format!("i-{index}");
        let name = id.clone();
        let address = start_endpoint(move |stream, message| {
            let attempt = message.header("x-attempt-id").to_owned();
            began.lock().unwrap().insert(attempt.clone(), false);
            record.add(format!("{name} begins to work on {attempt}"));
            let bytes = answer(&message, &vec![b'a'; ANSWER_BYTES]);
            let (_, rest) = message.read_body(stream)?;
            // Waits for as long as the front reads nothing.
            stream.write_all(&bytes).inspect_err(|error| {
                began.lock().unwrap().insert(attempt.clone(), true);
                record.add(format!("{name} is cut off from {attempt}: {error}"));
            })?;
            record.add(format!("{name} has sent its answer to {attempt}"));
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
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let record = Arc::clone(record);
            thread::spawn(move || charge(address, index, trouble.has_slow_reader, &record))
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
    judge(stopped, &outcomes, &began.lock().unwrap())
}

fn charge(address: SocketAddr, index: usize, is_slow: bool, record: &Record) -> Outcome {
    let attempt = format!("charge-{index}");
    let sent = Instant::now();
    let mut read = 0;
    let result = TcpStream::connect(address).and_then(|mut stream| {
        stream.set_read_timeout(Some(TIME_LIMIT))?;
        stream.write_all(&request("POST", "/pay/card", &attempt, TIME_LIMIT, b"charge"))?;
        record.add(format!("client sent {attempt}"));
        let message = Message::read_head(&mut stream, Vec::new())?;
        let message = message.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        record.add(format!("client got the head of the answer to {attempt}: {}", message.word()));
        if is_slow {
            thread::sleep((sent + READS_ON).saturating_duration_since(Instant::now()));
            record.add(format!("client reads on, {attempt}"));
        }
        let is_success = message.word() == "200";
        let (body, _) = message.read_body(&mut stream)?;
        read = body.len();
        Ok(is_success && read == ANSWER_BYTES)
    });
    let is_complete = matches!(result, Ok(true));
    record.add(match result {
        Ok(_) => format!("client got the answer to {attempt}, {read} bytes"),
        Err(error) => format!("client got no complete answer to {attempt}: {error}"),
    });
    Outcome { attempt, sent, ended: Instant::now(), is_complete }
}

/// LOST, around a SIGTERM: a request that was passed on ends without a complete answer.
fn judge(
    stopped: Option<Instant>,
    outcomes: &[Outcome],
    began: &HashMap<String, bool>,
) -> Vec<String> {
    let Some(stopped) = stopped else { return Vec::new() };
    let mut breaks = Vec::new();
    for outcome in outcomes {
        // Bounds and excuses of the rule. The endpoints break off nothing.
        let is_in_window =
            outcome.ended >= stopped && outcome.ended < stopped + GRACE + Duration::from_secs(1);
        let is_in_last_sixth = outcome.ended >= stopped + GRACE * 5 / 6;
        let is_limit_reached = outcome.ended >= outcome.sent + TIME_LIMIT;
        if !outcome.is_complete
            && began.contains_key(&outcome.attempt)
            && is_in_window
            && !is_in_last_sixth
            && !is_limit_reached
        {
            breaks.push(format!(
                "{}: the channel ended without a complete answer {:.2} s after the request and {:.2} s after SIGTERM",
                outcome.attempt,
                (outcome.ended - outcome.sent).as_secs_f64(),
                (outcome.ended - stopped).as_secs_f64(),
            ));
        }
    }
    breaks
}
