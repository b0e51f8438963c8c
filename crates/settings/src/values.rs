//! Parsers of values.

use tansyjunction::interface::Micros;

/// Parses a duration such as `400ms`, `3s` or `1m 30s`, in microseconds.
pub fn duration(text: &str) -> Result<Micros, String> {
    if text == "0" {
        return Ok(0);
    }
    let read = humantime::parse_duration(text);
    let read = read.map_err(|_| format!("'{text}' is not a time, such as 400ms or 3s"))?;
    Micros::try_from(read.as_micros()).map_err(|_| format!("'{text}' is too long a time"))
}

/// Parses a non-negative integer.
pub fn whole(text: &str) -> Result<u64, String> {
    text.parse().map_err(|_| format!("'{text}' is not a whole number"))
}

/// Parses a non-negative number.
pub fn number(text: &str) -> Result<f64, String> {
    let read = text.parse::<f64>().ok().filter(|n| n.is_finite() && *n >= 0.0);
    read.ok_or_else(|| format!("'{text}' is not a number from 0 up"))
}

/// Parses a boolean.
pub fn flag(text: &str) -> Result<bool, String> {
    match text {
        "yes" | "on" | "true" => Ok(true),
        "no" | "off" | "false" => Ok(false),
        _ => Err(format!("'{text}' is neither yes nor no")),
    }
}

/// Parses a comma-separated list without empty parts.
pub fn list(text: &str) -> Result<Vec<String>, String> {
    let parts: Vec<String> = text.split(',').map(|part| part.trim().to_string()).collect();
    match parts.iter().any(String::is_empty) {
        true => Err(format!("'{text}' has an empty part")),
        false => Ok(parts),
    }
}

/// Parses one of the `known` names.
pub fn one_of<T: Copy>(what: &str, text: &str, known: &[(&str, T)]) -> Result<T, String> {
    let found = known.iter().find(|(name, _)| *name == text).map(|(_, value)| *value);
    found.ok_or_else(|| unknown(what, text, known.iter().map(|(name, _)| *name)))
}

/// Error text for an unknown name, with the nearest known one or a few of them.
pub fn unknown<'a>(what: &str, name: &str, known: impl Iterator<Item = &'a str> + Clone) -> String {
    match nearest(name, known.clone()) {
        Some(near) => format!("no such {what}; the nearest is '{near}'"),
        None => {
            let all: Vec<&str> = known.take(12).collect();
            match all.is_empty() {
                true => format!("no such {what}"),
                false => format!("no such {what}; there are {}", all.join(", ")),
            }
        }
    }
}

/// The known name that is probably meant.
pub fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let like = |other: &str| strsim::normalized_damerau_levenshtein(name, other);
    let scored = known.map(|other| (like(other), other)).filter(|(score, _)| *score >= 0.5);
    scored.max_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, other)| other)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn values_are_read_or_told_why_not() {
        assert_eq!(duration("400ms"), Ok(400_000));
        assert_eq!(duration("1m 30s"), Ok(90_000_000));
        assert_eq!(duration("0"), Ok(0));
        assert!(duration("3").is_err() && duration("-1s").is_err() && duration("9999999999y").is_err());
        assert_eq!(list("a, b"), Ok(vec!["a".into(), "b".into()]));
        assert!(list("a,,b").is_err() && list("").is_err());
        assert!(number("NaN").is_err() && number("-1").is_err() && whole("1.5").is_err());
        assert_eq!((flag("yes"), flag("off")), (Ok(true), Ok(false)));
        assert!(flag("maybe").is_err());
        assert_eq!(one_of("colour", "red", &[("red", 1)]), Ok(1));
    }

    #[test]
    fn the_nearest_name_is_told_or_those_that_there_are() {
        let known = || ["lookup", "report", "issue"].into_iter();
        assert_eq!(
            unknown("command group", "lokup", known()),
            "no such command group; the nearest is 'lookup'"
        );
        assert_eq!(unknown("shard", "99", known()), "no such shard; there are lookup, report, issue");
        assert_eq!(unknown("shard", "99", [].into_iter()), "no such shard");
    }
}
