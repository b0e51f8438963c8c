//! Tests of the limits.

use super::*;

const MIB: usize = 1_024 * 1_024;

/// Guards against a gateway whose messages fill the memory that answers need, or all of it.
#[test]
fn messages_get_a_quarter_of_the_memory_and_answers_fill_it_up_to_half() {
    let limits = BufferLimits::new(32 * MIB, 1_024);
    // Messages and other bytes in use, in MiB, and what one more MiB may be reserved for.
    for (messages, other, message, answer) in [
        (0, 0, true, true),
        (7, 0, true, true),
        (8, 0, false, true),
        (8, 7, false, true),
        (8, 8, false, false),
        (0, 15, true, true),
        (0, 16, false, false),
    ] {
        let used = BufferUse { messages: messages * MIB, other: other * MIB };
        let admitted = (limits.admits_message(used, MIB), limits.admits_answer(used, MIB));
        assert_eq!(admitted, (message, answer), "{messages} and {other} MiB in use");
    }
}

/// Guards against limits that many connections exceed without any reservation.
#[test]
fn what_needs_no_reservation_is_little_on_all_connections_together() {
    for (memory, sockets) in [(16, 256), (32, 1_024), (128, 64), (192, 1_024), (2_048, 65_536)] {
        let unreserved = BufferLimits::new(memory * MIB, sockets).unreserved();
        assert!(unreserved >= MIN_UNRESERVED_BYTES);
        assert!(unreserved * sockets <= memory * MIB / UNRESERVED_DIVISOR, "{memory} MiB, {sockets}");
    }
}
