//! Encoding of the messages about request caps: one small CBOR datagram each.

use std::io;

use jackdawmux_policy::fleet::cap::{CapAnswer, CapAsk, TeamAnswer, TeamAsk, TeamId};

/// Largest datagram, in bytes.
pub(super) const MAX_CAP_BYTES: usize = 1_200;
/// Number of a message that asks for tokens.
const ASK: u8 = 1;
/// Number of an answer.
const ANSWER: u8 = 2;

/// Kind, asking process, sequence number, and by team: its hash, a count of tokens, whether they are
/// denied, and after how many milliseconds to ask again. Later releases may add elements.
type CapWire = (u8, u64, u64, Vec<(u64, u32, bool, u32)>);

/// A message about request caps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CapMessage {
    /// Asks for tokens.
    Ask(CapAsk),
    /// Answers.
    Answer(CapAnswer),
}

/// Encodes a message.
///
/// # Errors
/// When it cannot be represented in CBOR.
pub fn encode_cap(message: &CapMessage) -> io::Result<Vec<u8>> {
    let wire: CapWire = match message {
        CapMessage::Ask(ask) => {
            let teams = ask.teams.iter().map(|TeamAsk(team, count)| (team.0, *count, false, 0));
            (ASK, ask.asker, ask.sequence, teams.collect())
        }
        CapMessage::Answer(answer) => {
            let teams = answer.teams.iter();
            let teams =
                teams.map(|team| (team.team.0, team.granted, team.is_denied, team.retry_ms));
            (ANSWER, answer.asker, answer.sequence, teams.collect())
        }
    };
    let mut bytes = Vec::with_capacity(64);
    ciborium::into_writer(&wire, &mut bytes).map_err(io::Error::other)?;
    Ok(bytes)
}

/// Decodes a message.
///
/// # Errors
/// When the bytes are not an encoded message of a known kind.
pub fn decode_cap(bytes: &[u8]) -> io::Result<CapMessage> {
    let (kind, asker, sequence, teams): CapWire =
        ciborium::from_reader(bytes).map_err(io::Error::other)?;
    match kind {
        ASK => {
            let teams = teams.into_iter().map(|(team, count, ..)| TeamAsk(TeamId(team), count));
            Ok(CapMessage::Ask(CapAsk { asker, sequence, teams: teams.collect() }))
        }
        ANSWER => {
            let teams = teams.into_iter().map(|(team, granted, is_denied, retry_ms)| TeamAnswer {
                team: TeamId(team),
                granted,
                is_denied,
                retry_ms,
            });
            Ok(CapMessage::Answer(CapAnswer { asker, sequence, teams: teams.collect() }))
        }
        _ => Err(io::Error::other(format!("unknown kind {kind}"))),
    }
}
