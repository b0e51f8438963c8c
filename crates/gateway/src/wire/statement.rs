//! Parses the parameters in a command's statement, in place.

use std::ops::Range;

/// A command's parameters; ranges are positions in the message.
#[derive(Debug, PartialEq)]
pub struct CommandHead<'a> {
    pub id: &'a str,
    /// Position of the id.
    pub id_at: Range<usize>,
    /// Whether it writes, and whether it has a deduplication key.
    pub writes: bool,
    pub keyed: bool,
    pub command_group: &'a str,
    /// Client timeout in milliseconds, and its position.
    pub wait: u64,
    pub wait_at: Range<usize>,
    pub group: &'a str,
    /// The quoted record key.
    pub key: &'a str,
    /// Position (Unix time in milliseconds) that a read must see.
    pub after: Option<u64>,
}

/// Longest client timeout in milliseconds: a day.
const MAX_TIMEOUT_MS: u64 = 86_400_000;

/// Most names in a comment; far more than exist.
const MAX_NAMES: usize = 64;

impl<'a> CommandHead<'a> {
    /// Parses a Query message including its type and length. `Err` says what is wrong.
    pub fn read(message: &'a [u8]) -> Result<Self, String> {
        let text = message.get(5..).and_then(|body| body.strip_suffix(b"\0")).unwrap_or_default();
        let text = std::str::from_utf8(text).map_err(|_| "the statement is not UTF-8")?;
        if text.contains('\0') {
            return Err("the statement holds a zero byte".into());
        }
        let known = ["SELECT v FROM records WHERE k = '", "INSERT INTO records (k, v) VALUES ('"];
        let start = known.iter().position(|start| text.starts_with(start));
        let start = start.ok_or("not a statement on the records")?;
        let rest = &text[known[start].len()..];
        let key = &rest[..rest.find('\'').ok_or("the key is not closed")?];
        let (open, close) = (text.rfind("/*"), text.rfind("*/"));
        let (Some(open), Some(close)) = (open, close) else { return Err("the comment is missing".into()) };
        let comment = text.get(open + 2..close).ok_or("the comment is not closed")?;
        let middle =
            text.get(known[start].len() + key.len() + 1..open).ok_or("the comment is in the key")?.trim();
        let writes = start == 1;
        let fits = if writes {
            let value = middle.strip_prefix(", '\\x").and_then(|rest| rest.strip_suffix("') RETURNING v"));
            value.is_some_and(|value| value.bytes().all(|byte| byte.is_ascii_hexdigit()))
        } else {
            middle.is_empty()
        };
        if !fits || !matches!(text[close + 2..].trim(), "" | ";") {
            return Err("not a statement on one record alone".into());
        }
        let (mut id, mut command_group, mut wait, mut group, mut after) = (None, None, None, None, None);
        let (mut keyed, mut names) = (false, Vec::new());
        let mut at = 5 + open + 2;
        for part in comment.split(',') {
            let here = at;
            at += part.len() + 1;
            let Some((name, value)) = part.split_once('=') else { continue };
            let start = here + name.len() + 1 + (value.len() - value.trim_start().len());
            let value = value.trim();
            if names.contains(&name.trim()) {
                return Err(format!("'{}' is given twice", name.trim()));
            }
            // Each name is compared with all before it, so their number is limited.
            if names.len() == MAX_NAMES {
                return Err("the comment holds too many names".into());
            }
            names.push(name.trim());
            let number = || value.parse::<u64>().map_err(|_| format!("'{}' is not a number", name.trim()));
            match name.trim() {
                "id" => id = Some((value, start..start + value.len())),
                "c" => command_group = Some(value),
                "d" => wait = Some((number()?, start..start + value.len())),
                "cluster" => group = Some(value),
                "k" => keyed = !value.is_empty(),
                "after" => after = Some(number()?),
                _ => {}
            }
        }
        let (id, id_at) = id.filter(|(id, _)| !id.is_empty()).ok_or("'id' is missing")?;
        if !id.bytes().all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_')) {
            return Err("'id' is no word".into());
        }
        let (wait, wait_at) = wait.ok_or("'d' is missing")?;
        if !(1..=MAX_TIMEOUT_MS).contains(&wait) {
            return Err("'d' is out of range".into());
        }
        let command_group = command_group.ok_or("'c' is missing")?;
        Ok(CommandHead {
            id,
            id_at,
            writes,
            keyed,
            command_group,
            wait,
            wait_at,
            group: group.unwrap_or_default(),
            key,
            after,
        })
    }
}

/// The message with another timeout, as parts of a vectored write; `new` holds the changed ones.
pub fn rewritten<'a>(message: &'a [u8], wait_at: &Range<usize>, new: &'a ([u8; 5], String)) -> [&'a [u8]; 4] {
    [&new.0, &message[5..wait_at.start], new.1.as_bytes(), &message[wait_at.end..]]
}

/// The header and timeout for [`rewritten`].
pub fn new_wait(message: &[u8], wait_at: &Range<usize>, wait: u64) -> ([u8; 5], String) {
    let wait = wait.to_string();
    let length = (message.len() - 1 - wait_at.len() + wait.len()) as u32;
    let mut head = [b'Q', 0, 0, 0, 0];
    head[1..].copy_from_slice(&length.to_be_bytes());
    (head, wait)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::collection::vec;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    /// Parts of valid statements, and of invalid ones.
    const PARTS: [&str; 24] = [
        "SELECT v FROM records WHERE k = '",
        "INSERT INTO records (k, v) VALUES ('",
        "7f",
        "'",
        "', '\\x9f') RETURNING v",
        " /* ",
        "/*",
        " */",
        "*/",
        "id=9b",
        "c=basket",
        "d=480",
        "d = 0",
        "d=18446744073709551615",
        "d=-1",
        "after=99999999999999999999",
        "after=18446744073709551615",
        "k=",
        ",",
        "=",
        ";",
        "\0",
        "\u{a0}\u{e9}\u{1f600}",
        " ",
    ];

    /// Checks that the parsed ranges fit the message, and that the rewritten message parses to the same.
    fn holds_together(message: &[u8], new: u64) {
        let Ok(head) = CommandHead::read(message) else { return };
        assert_eq!(&message[head.id_at.clone()], head.id.as_bytes());
        let wait = std::str::from_utf8(&message[head.wait_at.clone()]).expect("text");
        assert_eq!(wait.parse(), Ok(head.wait));
        let parts = new_wait(message, &head.wait_at, new);
        let written = rewritten(message, &head.wait_at, &parts).concat();
        assert_eq!(written[1..5], (written.len() as u32 - 1).to_be_bytes());
        let again = CommandHead::read(&written).expect("a command");
        assert_eq!((again.wait, again.id, again.key), (new, head.id, head.key));
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            cases: 4_000, rng_seed: RngSeed::Fixed(38), failure_persistence: None, ..ProptestConfig::default()
        })]

        #[test]
        fn no_message_is_beyond_reading(bytes in vec(any::<u8>(), 0..200), new in 1..MAX_TIMEOUT_MS) {
            holds_together(&bytes, new);
            holds_together(&[b"Q\0\0\0\0", &bytes[..], b"\0"].concat(), new);
        }

        #[test]
        fn parts_of_statements_in_any_order_are_read_or_refused(
            places in vec(0..PARTS.len(), 0..30), new in 1..MAX_TIMEOUT_MS,
        ) {
            let text: String = places.iter().map(|place| PARTS[*place]).collect();
            holds_together(&[b"Q\0\0\0\0", text.as_bytes(), b"\0"].concat(), new);
        }

        #[test]
        fn a_statement_with_parts_put_in_is_read_or_refused(
            put in vec((0..90_usize, 0..PARTS.len()), 0..4), new in 1..MAX_TIMEOUT_MS,
        ) {
            let mut text = format!("{}7f' /* id=9b,c=basket,d=480,cluster=2,after=12 */", PARTS[0]);
            for (place, part) in put {
                if text.is_char_boundary(place) {
                    text.insert_str(place, PARTS[part]);
                }
            }
            holds_together(&[b"Q\0\0\0\0", text.as_bytes(), b"\0"].concat(), new);
        }
    }

    /// A comment with too many names, and numbers out of range.
    #[test]
    fn what_is_beyond_all_is_refused() {
        let read = |comment: &str| {
            let text = format!("{}7f' /* {comment} */", PARTS[0]);
            CommandHead::read(&[b"Q\0\0\0\0", text.as_bytes(), b"\0"].concat())
                .map(|head| (head.wait, head.after))
        };
        let names = |count: usize| (0..count).map(|n| format!("n{n}=,")).collect::<String>();
        for (comment, part) in [
            (format!("{}id=1,c=x,d=5", names(61)), ""),
            (format!("{}id=1,c=x,d=5", names(62)), "too many"),
            ("id=1,c=x,d=18446744073709551615".into(), "'d'"),
            ("id=1,c=x,d=18446744073709551616".into(), "'d'"),
            ("id=1,c=x,d=0".into(), "'d'"),
            ("id=1,c=x,d=-1".into(), "'d'"),
            ("id=1,c=x,d=5,after=-1".into(), "'after'"),
            ("id=1,c=x,d=5,id=1".into(), "'id'"),
            ("id='1',c=x,d=5".into(), "'id'"),
        ] {
            let said = read(&comment).err().unwrap_or_default();
            assert!(said.contains(part) && said.is_empty() == part.is_empty(), "{comment}: {said}");
        }
        assert_eq!(read("id=1,c=x,d=5,after=18446744073709551615"), Ok((5, Some(u64::MAX))));
    }

    #[test]
    fn only_the_wait_is_rewritten_and_the_length_follows() {
        let read = "SELECT v FROM records WHERE k = '7f /* d=1 */'";
        for (text, wait, new, expected) in [
            (format!("{read} /* id=9b,c=basket,d=480,cluster=2,after=12 */"), 480, 7, ("d=480", "d=7")),
            (format!("{read} /* id=9b,d=9,c=basket,cluster=2,after=12 */;"), 9, 1_234, (",d=9", ",d=1234")),
            (format!("{read} /* c=basket,cluster=2,after=12,id=d, d = 5 */ "), 5, 50, ("d = 5", "d = 50")),
        ] {
            let message = [b"Q\0\0\0\0", text.as_bytes(), b"\0"].concat();
            let head = CommandHead::read(&message).expect("a command");
            assert_eq!((head.wait, head.command_group, head.group), (wait, "basket", "2"));
            assert_eq!((head.key, head.after), ("7f /* d=1 */", Some(12)));
            let parts = new_wait(&message, &head.wait_at, new);
            let written = rewritten(&message, &head.wait_at, &parts).concat();
            assert_eq!(written[5..written.len() - 1], *text.replace(expected.0, expected.1).as_bytes());
            assert_eq!(written[..5], [&b"Q"[..], &(written.len() as u32 - 1).to_be_bytes()].concat());
        }
    }
}
