//! Converts a deployment's settings to the router's names and to microseconds.

use serde_json::Value as Json;
use tansyjunction::interface::{SettingsByName, Value};

/// Settings to convert: path in the deployment's settings, name for the router, and divisor of numbers.
const SETTINGS: [(&str, &str, f64); 22] = [
    ("balancers", "routers", 1.0),
    ("me", "router", 1.0),
    ("round", "round", 1_000.0),
    ("registry_mode", "list_mode", 1.0),
    ("domain/guards", "guards", 1.0),
    ("domain/write_marks", "session_marks", 1.0),
    ("domain/synchronous", "synchronous", 1.0),
    ("domain/patience", "guard_wait", 1_000.0),
    ("over_share_worth", "over_share_benefit", 1.0),
    ("limits/cancelling", "limits.recalls", 1.0),
    ("limits/max_attempts", "limits.max_dispatches", 1.0),
    ("limits/max_retry_after", "limits.max_come_back", 1_000.0),
    ("limits/probes", "limits.probes", 1.0),
    ("limits/retry_after", "limits.come_back", 1.0),
    ("limits/second_copies", "limits.second_copies", 1.0),
    ("guarantees/cold", "rules.cold", 1_000.0),
    ("guarantees/cold_from", "rules.cold_from", 1.0),
    ("guarantees/drain_grace", "rules.drain_grace", 1_000.0),
    ("guarantees/gone_is_advice", "rules.gone_is_advice", 1.0),
    ("guarantees/fall_multiple", "rules.fall_multiple", 1.0),
    ("guarantees/overload_for", "rules.fall_for", 1_000.0),
    ("guarantees/grace_to_answer", "rules.answer_grace", 1_000.0),
];

/// The same for the settings of each command group.
const COMMAND_GROUP_SETTINGS: [(&str, &str, f64); 7] = [
    ("aim", "response_target", 1_000.0),
    ("hard_limit", "client_timeout", 1_000.0),
    ("worth", "benefit", 1.0),
    ("late_worth", "late_benefit", 1.0),
    ("effect", "effect", 1.0),
    ("dedup_scope", "scope", 1.0),
    ("window", "repeat_within", 1_000.0),
];

/// Text values of the deployment's settings and their names for the router; other values are unchanged.
const TEXT_VALUES: [(&str, &str); 15] = [
    ("pure", "replayable"),
    ("token", "keyed"),
    ("side_effect", "mutating"),
    ("cell", "group"),
    ("mutate", "write"),
    ("strong", "fresh"),
    ("causal", "session"),
    ("lag_bound", "bounded"),
    ("eventual", "any"),
    ("on_request", "ask"),
    ("silent", "none"),
    ("bounce", "refuse"),
    ("await", "wait"),
    ("brought", "carried"),
    ("kept", "remembered"),
];

/// Converts the settings of a deployment. Missing ones are left out, and the router uses its defaults.
pub fn convert_settings(conf: &Json) -> SettingsByName {
    let mut named = SettingsByName::new();
    for (path, name, unit) in SETTINGS {
        let found = path.split('/').try_fold(conf, |at, part| at.get(part));
        insert_value(&mut named, name.into(), found, unit);
    }
    let zones = conf["localities"].as_array().map_or(&[][..], Vec::as_slice);
    let zone = zones.iter().position(|zone| *zone == conf["my_zone"]);
    named.insert("zone".into(), Value::Number(zone.unwrap_or(0) as f64));
    let each = conf["categories"].as_array().map_or(&[][..], Vec::as_slice);
    named.insert("command_groups".into(), Value::Number(each.len() as f64));
    for (k, category) in each.iter().enumerate() {
        for (key, name, unit) in COMMAND_GROUP_SETTINGS {
            insert_value(&mut named, format!("command_group.{k}.{name}"), category.get(key), unit);
        }
        let domain = &conf["domain"];
        insert_value(&mut named, format!("command_group.{k}.need"), domain["needs_by_class"].get(k), 1.0);
        insert_value(&mut named, format!("command_group.{k}.bound"), domain["class_bound"].get(k), 1_000.0);
    }
    let customers = conf["realms"].as_array().map_or(&[][..], Vec::as_slice);
    named.insert("customers".into(), Value::Number(customers.len() as f64));
    for (place, customer) in customers.iter().enumerate() {
        // Commands per second over all routers.
        insert_value(&mut named, format!("customer.{place}.quota"), customer.get("quota_rps"), 1.0);
    }
    named
}

fn insert_value(named: &mut SettingsByName, name: String, found: Option<&Json>, unit: f64) {
    let value = match found {
        Some(Json::Number(number)) => Value::Number(number.as_f64().unwrap_or(0.0) / unit),
        Some(Json::Bool(flag)) => Value::Flag(*flag),
        Some(Json::String(word)) => {
            let ours =
                TEXT_VALUES.iter().find(|(theirs, _)| theirs == word).map_or(word.as_str(), |(_, ours)| ours);
            Value::Text(ours.into())
        }
        _ => return,
    };
    named.insert(name, value);
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn customers_and_their_shares_are_taken_over() {
        let conf = json!({"over_share_worth": 0.1,
            "realms": [{"name": "x", "quota_rps": 261.0, "share": 0.43}, {"name": "y", "quota_rps": 91.5}]});
        let named = convert_settings(&conf);
        for (name, expected) in [
            ("customers", 2.0),
            ("customer.0.quota", 261.0),
            ("customer.1.quota", 91.5),
            ("over_share_benefit", 0.1),
        ] {
            assert_eq!(named.get(name), Some(&Value::Number(expected)), "{name}");
        }
        assert_eq!(super::convert_settings(&json!({})).get("customers"), Some(&Value::Number(0.0)));
    }
}
