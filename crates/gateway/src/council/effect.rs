//! The effect of a conductor: a statement that makes a server the primary, sent from a thread of its own with a time
//! limit. It contains shard, target and epoch and may be repeated: the server accepts the same epoch again and rejects
//! older ones.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use tansyjunction::interface::Micros;
use tansyjunction_duties::Switch;

use super::fault::SwitchError;
use crate::run::clock::{boottime, monotonic};
use crate::wire::frames;

/// SQLSTATE by which a server rejects an old epoch: object not in prerequisite state.
const SQLSTATE_FENCED: &str = "55000";
/// Most bytes of an answer, which is a few short messages.
const MAX_ANSWER_BYTES: usize = 16_384;

/// Whether a name can be inserted into a statement without escaping.
pub fn is_plain(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
}

/// Fills the placeholders of a statement.
pub fn statement(template: &str, switch: &Switch) -> String {
    let epoch = switch.epoch.to_string();
    template
        .replace("{shard}", &switch.shard.to_string())
        .replace("{to}", &switch.to)
        .replace("{epoch}", &epoch)
}

/// Sends a switch to a server and waits for the answer until `until` (time of [`boottime`]). Nothing is written after
/// `starts_until`. Calls `starts` immediately before writing, with a time of [`monotonic`] before that limit.
///
/// # Errors
///
/// Why the switch failed, or may have failed.
pub fn send_switch(
    address: SocketAddr,
    statement: &str,
    starts_until: Micros,
    until: Micros,
    starts: impl FnOnce(Micros),
) -> Result<(), SwitchError> {
    let lost = |error: std::io::Error| SwitchError::NotReached(error.to_string());
    let mut stream = TcpStream::connect_timeout(&address, time_left(until).map_err(lost)?).map_err(lost)?;
    stream.set_nodelay(true).map_err(lost)?;
    stream.set_write_timeout(Some(time_left(until).map_err(lost)?)).map_err(lost)?;
    stream.write_all(frames::START).map_err(lost)?;
    let mut inbox = Vec::new();
    loop {
        match next_message(&mut stream, &mut inbox, until).map_err(|error| match error {
            SwitchError::NoAnswer(why) => SwitchError::NotReached(why),
            other => other,
        })? {
            (b'Z', _) => break,
            (b'E', code) => return Err(SwitchError::NotReached(format!("error {code}"))),
            _ => {}
        }
    }
    let length = u32::try_from(statement.len() + 5).unwrap_or(u32::MAX);
    let query = [b"Q", &length.to_be_bytes()[..], statement.as_bytes(), b"\0"].concat();
    // The process may have been paused while it connected, so that the lease has expired.
    let mono = monotonic();
    if boottime() >= starts_until {
        return Err(SwitchError::LeaseEnds);
    }
    starts(mono);
    stream.write_all(&query).map_err(|error| SwitchError::NoAnswer(error.to_string()))?;
    let (mut done, mut refused) = (false, None);
    loop {
        match next_message(&mut stream, &mut inbox, until)? {
            (b'Z', _) => break,
            (b'E', code) => refused = Some(code),
            (b'C', _) => done = true,
            _ => {}
        }
    }
    match refused {
        Some(code) if code == SQLSTATE_FENCED => Err(SwitchError::Fenced),
        Some(code) => Err(SwitchError::Refused(code)),
        None if done => Ok(()),
        None => Err(SwitchError::NoAnswer("there was none".into())),
    }
}

fn time_left(until: Micros) -> std::io::Result<Duration> {
    match until.saturating_sub(boottime()) {
        0 => Err(ErrorKind::TimedOut.into()),
        micros => Ok(Duration::from_micros(micros)),
    }
}

/// Type of the next message, and the code if it is an error.
fn next_message(
    stream: &mut TcpStream,
    inbox: &mut Vec<u8>,
    until: Micros,
) -> Result<(u8, String), SwitchError> {
    let lost = |error: std::io::Error| SwitchError::NoAnswer(error.to_string());
    loop {
        match frames::first(inbox, MAX_ANSWER_BYTES) {
            Ok(Some((kind, length))) => {
                let message: Vec<u8> = inbox.drain(..length).collect();
                let code = match kind {
                    b'E' => frames::error_code(&message[frames::HEADER_BYTES..]).unwrap_or("without a code"),
                    _ => "",
                };
                return Ok((kind, code.into()));
            }
            Ok(None) => {}
            Err(_) => return Err(SwitchError::NoAnswer("it is invalid".into())),
        }
        stream.set_read_timeout(Some(time_left(until).map_err(lost)?)).map_err(lost)?;
        let mut bytes = [0; 1_024];
        match stream.read(&mut bytes) {
            Ok(0) => return Err(SwitchError::NoAnswer("the connection was ended".into())),
            Ok(count) => inbox.extend_from_slice(&bytes[..count]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(lost(error)),
        }
    }
}

#[cfg(test)]
mod tests {
    use tansyjunction_standin::{Store, StoreConfig};

    use super::*;

    const SECOND: Micros = 1_000_000;

    fn switch(store: &Store, to: usize, epoch: u64, starts_until: Micros) -> Result<(), SwitchError> {
        let switch = Switch { shard: 0, to: Store::name(to), epoch };
        let text = statement("SELECT switch /* shard={shard},to={to},epoch={epoch} */", &switch);
        send_switch(store.addresses[to], &text, starts_until, boottime() + SECOND, |_| {})
    }

    #[test]
    fn a_server_is_made_the_primary_and_an_older_epoch_is_refused() {
        let shape = StoreConfig { shards: 1, gap: Duration::from_millis(1), ..StoreConfig::default() };
        let store = Store::start(shape).expect("a store");
        let soon = boottime() + 10 * SECOND;
        assert_eq!(switch(&store, 1, 4, soon), Ok(()));
        assert_eq!(switch(&store, 1, 4, soon), Ok(()));
        assert_eq!(switch(&store, 2, 3, soon), Err(SwitchError::Fenced));
        assert_eq!(store.leader(0), Some(1));
        let told = store.ordered().len();
        assert_eq!(switch(&store, 2, 5, boottime()), Err(SwitchError::LeaseEnds));
        assert_eq!((store.ordered().len(), store.leader(0)), (told, Some(1)));
        assert_eq!(switch(&store, 0, 5, soon), Ok(()));
        store.hang(2);
        let began = boottime();
        assert!(matches!(switch(&store, 2, 6, soon), Err(SwitchError::NotReached(_))));
        assert!(boottime() - began < 2 * SECOND);
    }

    #[test]
    fn an_answer_that_does_not_come_may_be_a_yes() {
        let shape = StoreConfig { shards: 1, gap: Duration::from_millis(1), ..StoreConfig::default() };
        let store = Store::start(shape).expect("a store");
        store.slow(Duration::from_millis(1_200));
        let end = switch(&store, 1, 1, boottime() + 10 * SECOND);
        assert!(matches!(end, Err(SwitchError::NoAnswer(_))), "{end:?}");
        assert_eq!(store.leader(0), Some(1));
    }

    #[test]
    fn names_that_could_end_a_statement_are_no_names() {
        assert!(is_plain("ark-2.near_b"));
        for name in ["", "a'b", "a b", "a*/", "a;", "\u{e9}"] {
            assert!(!is_plain(name), "{name}");
        }
    }
}
