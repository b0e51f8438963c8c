//! PostgreSQL messages, protocol 3.0: parsed in place and encoded.

/// Bytes before the body of a message: type and length.
pub const HEADER_BYTES: usize = 5;

/// ReadyForQuery, idle.
pub const READY: &[u8] = b"Z\0\0\0\x05I";
/// EmptyQueryResponse.
pub const EMPTY_QUERY: &[u8] = b"I\0\0\0\x04";
/// AuthenticationOk and the parameters that drivers expect at startup.
pub const WELCOME: &[u8] = b"R\0\0\0\x08\0\0\0\0\
    S\0\0\0\x18server_version\x0015.0\0\
    S\0\0\0\x19client_encoding\0UTF8\0\
    S\0\0\0\x23standard_conforming_strings\0on\0";
/// Probe statement without a load report.
pub const PROBE: &[u8] = b"Q\0\0\0\x0dSELECT 1\0";
/// Probe statement that returns a load report.
pub const REPORT_PROBE: &[u8] = b"Q\0\0\0\x10SHOW health\0";
/// Empty query to a server: answered at once, with a message that answers nothing else, and without effect.
pub const SYNC_QUERY: &[u8] = b"Q\0\0\0\x05\0";
/// Startup message to a server: user svc, database main.
pub const START: &[u8] = b"\0\0\0\x20\0\x03\0\0user\0svc\0database\0main\0\0";

fn number(bytes: &[u8]) -> Option<u32> {
    Some(u32::from_be_bytes(bytes.get(..4)?.try_into().ok()?))
}

/// Type and length of the first message. `Ok(None)`: incomplete. `Err`: its length exceeds `most` or is invalid;
/// contains the length if the message can be skipped.
pub fn first(input: &[u8], most: usize) -> Result<Option<(u8, usize)>, Option<usize>> {
    let (Some(kind), Some(length)) = (input.first(), input.get(1..).and_then(number)) else {
        return Ok(None);
    };
    let length = length as usize;
    if length < 4 || length > i32::MAX as usize {
        return Err(None);
    }
    if length + 1 > most {
        return Err(Some(length + 1));
    }
    Ok((input.len() > length).then_some((*kind, length + 1)))
}

/// Length of the message at the front with its header, as the header states it; `None` if that is incomplete.
pub fn stated_length(input: &[u8]) -> Option<usize> {
    number(input.get(1..)?)?.checked_add(1).map(|length| length as usize)
}

/// The same of a client's first message, which has no type.
pub fn stated_opening_length(input: &[u8]) -> Option<usize> {
    number(input).map(|length| length as usize)
}

/// First message of a client before a session: its code and length.
pub fn opening(input: &[u8], most: usize) -> Result<Option<(u32, usize)>, ()> {
    let Some(length) = number(input) else { return Ok(None) };
    let length = length as usize;
    if !(8..=most).contains(&length) {
        return Err(());
    }
    if input.len() < length {
        return Ok(None);
    }
    Ok(number(&input[4..]).map(|code| (code, length)))
}

fn text(bytes: &[u8]) -> Option<(&str, &[u8])> {
    let end = bytes.iter().position(|byte| *byte == 0)?;
    Some((std::str::from_utf8(&bytes[..end]).ok()?, &bytes[end + 1..]))
}

/// Name and value of a ParameterStatus.
pub fn parameter(body: &[u8]) -> Option<(&str, &str)> {
    let (name, rest) = text(body)?;
    Some((name, text(rest)?.0))
}

/// SQLSTATE of an ErrorResponse; `None` if it is malformed or has no code.
pub fn error_code(mut body: &[u8]) -> Option<&str> {
    let mut code = None;
    while let Some((field, rest)) = body.split_first().filter(|(field, _)| **field != 0) {
        let (value, rest) = text(rest)?;
        if *field == b'C' {
            code = Some(value);
        }
        body = rest;
    }
    code.filter(|_| body == [0])
}

/// Whether a RowDescription describes exactly one column.
pub fn is_one_column(body: &[u8]) -> bool {
    // After the name: table, column number, type, its size and modifier, format.
    let about = body.strip_prefix(&[0, 1]).and_then(text);
    about.is_some_and(|(_, about)| about.len() == 18)
}

/// Value of a DataRow with one column, empty if NULL; `None` if malformed.
pub fn column(body: &[u8]) -> Option<&[u8]> {
    let rest = body.strip_prefix(&[0, 1])?;
    let (length, value) = (number(rest)?, &rest[4..]);
    let fits = length as usize == value.len() || length == u32::MAX && value.is_empty();
    fits.then_some(value)
}

/// Whether a CommandComplete reports one row.
pub fn is_one_row(body: &[u8]) -> bool {
    matches!(body, b"SELECT 1\0" | b"INSERT 0 1\0" | b"SHOW\0")
}

/// Encodes an ErrorResponse; `detail` is field D.
pub fn error(severity: &str, code: &str, message: &str, detail: Option<&str>) -> Vec<u8> {
    let fields = [(b'S', Some(severity)), (b'V', Some(severity)), (b'C', Some(code)), (b'M', Some(message))];
    let mut out = vec![b'E', 0, 0, 0, 0];
    for (field, value) in fields.into_iter().chain([(b'D', detail)]) {
        let Some(value) = value else { continue };
        out.push(field);
        out.extend_from_slice(value.as_bytes());
        out.push(0);
    }
    out.push(0);
    let length = out.len() as u32 - 1;
    out[1..5].copy_from_slice(&length.to_be_bytes());
    out
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::collection::vec;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    proptest! {
        #![proptest_config(ProptestConfig {
            cases: 4_000, rng_seed: RngSeed::Fixed(38), failure_persistence: None, ..ProptestConfig::default()
        })]

        #[test]
        fn no_bytes_are_beyond_reading(
            bytes in vec(prop_oneof![any::<u8>(), 0..6_u8], 0..60), most in 0..80_usize,
        ) {
            match first(&bytes, most) {
                Ok(Some((kind, length))) => {
                    prop_assert!(kind == bytes[0] && (HEADER_BYTES..=most).contains(&length) && length <= bytes.len())
                }
                Ok(None) => {}
                Err(Some(length)) => prop_assert!(length > most),
                Err(None) => prop_assert!(bytes.len() >= HEADER_BYTES),
            }
            if let Ok(Some((_, length))) = opening(&bytes, most) {
                prop_assert!((8..=most).contains(&length) && length <= bytes.len());
            }
            let _ = (parameter(&bytes), error_code(&bytes), is_one_column(&bytes), is_one_row(&bytes));
            if let Some(value) = column(&bytes) {
                prop_assert_eq!(value.len() + 6, bytes.len());
            }
        }
    }

    #[test]
    fn an_error_is_read_as_it_was_written() {
        for (message, detail) in [("no", None), ("", Some("200")), ("'id' is no word", Some(""))] {
            let written = error("ERROR", "53300", message, detail);
            assert_eq!(first(&written, 1_000), Ok(Some((b'E', written.len()))));
            assert_eq!(error_code(&written[HEADER_BYTES..]), Some("53300"));
        }
    }
}
