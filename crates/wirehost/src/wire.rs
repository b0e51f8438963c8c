//! Access to the values of a JSON message, with errors that name the key.

use serde_json::Value as Json;
use tansyjunction::interface::Micros;

/// Nanoseconds (the unit of the messages) per microsecond.
pub const NANOS: u64 = 1_000;

/// The value of a key that must be present.
pub fn field<'a>(event: &'a Json, name: &str) -> Result<&'a Json, String> {
    event.get(name).filter(|value| !value.is_null()).ok_or_else(|| format!("'{name}' is missing"))
}

/// A non-negative integer, which may be written as a float.
pub fn number(event: &Json, name: &str) -> Result<u64, String> {
    let value = field(event, name)?;
    let whole = value.as_f64().filter(|n| *n >= 0.0 && n.fract() == 0.0).map(|n| n as u64);
    value.as_u64().or(whole).ok_or_else(|| format!("'{name}' is not a whole number"))
}

/// A time in nanoseconds, converted to microseconds.
pub fn time(event: &Json, name: &str) -> Result<Micros, String> {
    Ok(number(event, name)? / NANOS)
}

/// A string.
pub fn text<'a>(event: &'a Json, name: &str) -> Result<&'a str, String> {
    field(event, name)?.as_str().ok_or_else(|| format!("'{name}' is not text"))
}

/// A boolean; false if absent.
pub fn flag(event: &Json, name: &str) -> bool {
    event[name].as_bool().unwrap_or(false)
}

/// The values of a load report; `None` if null, absent or empty.
pub fn row(values: &Json) -> Option<&Vec<Json>> {
    values.as_array().filter(|values| !values.is_empty())
}
