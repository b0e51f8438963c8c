//! Pipelined requests on one connection: each has its own timeout, counted from its arrival.

use std::time::{Duration, Instant};

use tansyjunction_standin::scripted::*;
use tansyjunction_standin::{Reply, message};

const PROGRAM: &str = env!("CARGO_BIN_EXE_tansyjunction");
const MS: Duration = Duration::from_millis(1);

fn ahead(statements: &[String]) -> Vec<u8> {
    statements.iter().flat_map(|s| message(b'Q', format!("{s}\0").as_bytes())).collect()
}

/// Sends two requests at once, the second with a timeout of 1.5 s; the first is answered late. Returns the second
/// answer and its delay after sending.
fn second_behind_a_late_first(first: Duration, second: Reaction) -> (Reply, Duration) {
    let late = Reaction::AnswersLate(b"first".to_vec(), first);
    let server = ScriptedServer::start(true, vec![late, second]);
    let (address, _changes) = discovery(list(41, true, &[entry("s1", server.address, "up", true)]));
    let gateway = Gateway::start(PROGRAM, address);
    let mut client = gateway.client();
    let first = read(1).replace("d=1500", "d=9000");
    let sent = Instant::now();
    std::io::Write::write_all(&mut client.stream, &ahead(&[first, read(2)])).expect("it is sent");
    assert_eq!(client.reply(), Reply::Value(b"first".to_vec()));
    (client.reply(), sent.elapsed())
}

/// A request that waits behind another must not get its whole timeout anew: its client leaves before, without an
/// answer. The bound is its own deadline plus the tolerance of the protocol.
#[test]
fn a_request_behind_a_late_one_is_answered_by_its_own_deadline() {
    let (reply, took) =
        second_behind_a_late_first(900 * MS, Reaction::AnswersLate(b"late".to_vec(), 2_500 * MS));
    assert!(reply.throttled(), "{reply:?}");
    assert!(took <= 1_550 * MS, "{took:?}");
}

/// A request whose timeout is over at its turn is answered at once and never forwarded.
#[test]
fn a_request_whose_time_is_over_at_its_turn_is_rejected_at_once() {
    let (reply, took) = second_behind_a_late_first(1_700 * MS, Reaction::Answers(b"second".to_vec()));
    assert!(reply.throttled(), "{reply:?}");
    assert!(took < 2_500 * MS, "{took:?}");
}

/// A request with time left is served, however long it waited.
#[test]
fn a_request_behind_a_late_one_is_served_in_what_is_left() {
    let (reply, _) = second_behind_a_late_first(600 * MS, Reaction::Answers(b"second".to_vec()));
    assert_eq!(reply, Reply::Value(b"second".to_vec()));
}
