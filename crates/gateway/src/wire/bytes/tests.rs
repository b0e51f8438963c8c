//! Tests of the buffers.

use super::*;

/// Guards against buffers that take twice the memory of a long message for a few bytes behind it, or keep the memory
/// of a message that was consumed (incident 18).
#[test]
fn an_inbox_takes_little_more_memory_than_its_bytes() {
    const MESSAGE: usize = 131_000;
    let mut inbox = Inbox::default();
    inbox.reserve(MESSAGE);
    (0..MESSAGE / 1_000).for_each(|_| inbox.append(&[7; 1_000]));
    assert_eq!(inbox.memory(), MESSAGE);
    for behind in 1..=1_000 {
        inbox.append(b"x");
        let memory = inbox.memory();
        assert!(memory <= MESSAGE + behind + MAX_GROWTH_BYTES, "{behind} bytes behind: {memory}");
    }
    inbox.consume(MESSAGE);
    assert!(inbox.rest() == [b'x'; 1_000] && inbox.memory() <= 2 * 1_000, "{}", inbox.memory());
    inbox.consume(usize::MAX);
    assert_eq!(inbox.memory(), 0);
}
