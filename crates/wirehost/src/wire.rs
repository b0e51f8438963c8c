//! Reading the wire's values.

use serde_json::Value as Json;
use tansyjunction::interface::Micros;

/// Nanoseconds, the wire's unit, in a microsecond.
pub const NANOS: u64 = 1_000;

pub fn field<'a>(event: &'a Json, name: &str) -> Result<&'a Json, String> {
    event.get(name).filter(|value| !value.is_null()).ok_or_else(|| format!("'{name}' is missing"))
}

pub fn number(event: &Json, name: &str) -> Result<u64, String> {
    let value = field(event, name)?;
    let whole = value.as_f64().filter(|n| *n >= 0.0 && n.fract() == 0.0).map(|n| n as u64);
    value.as_u64().or(whole).ok_or_else(|| format!("'{name}' is not a whole number"))
}

pub fn time(event: &Json, name: &str) -> Result<Micros, String> {
    Ok(number(event, name)? / NANOS)
}

pub fn text<'a>(event: &'a Json, name: &str) -> Result<&'a str, String> {
    field(event, name)?.as_str().ok_or_else(|| format!("'{name}' is not text"))
}

pub fn flag(event: &Json, name: &str) -> bool {
    event[name].as_bool().unwrap_or(false)
}

/// A load report; null, absent and empty alike are none.
pub fn row(values: &Json) -> Option<&Vec<Json>> {
    values.as_array().filter(|values| !values.is_empty())
}
