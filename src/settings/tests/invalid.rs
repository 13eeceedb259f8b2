use serde_json::{json, Value};

use super::*;

/// Collects the JSON pointers of all numbers in a value.
fn number_pointers(value: &Value, pointer: &str, found: &mut Vec<String>) {
    match value {
        Value::Number(_) => found.push(pointer.to_owned()),
        Value::Object(fields) => {
            for (name, field) in fields {
                number_pointers(field, &format!("{pointer}/{name}"), found);
            }
        }
        _ => {}
    }
}

/// Loads and checks the default settings with `invalid` in place of the value at `pointer`.
fn check_with(pointer: &str, invalid: &Value) -> Result<(), String> {
    let mut value = serde_json::to_value(Settings::default()).expect("plain values become JSON");
    *value.pointer_mut(pointer).expect("a field") = invalid.clone();
    let settings: Settings = serde_json::from_value(value).map_err(|error| error.to_string())?;
    settings.check().map_err(|error| error.to_string())
}

#[test]
fn an_out_of_range_number_is_refused_in_every_field() {
    let defaults = serde_json::to_value(Settings::default()).expect("plain values become JSON");
    let mut pointers = Vec::new();
    number_pointers(&defaults, "", &mut pointers);
    let mut accepted = Vec::new();
    for pointer in &pointers {
        for invalid in [json!(u64::MAX), json!(1e300), json!(-1e300), json!([[[]]])] {
            if check_with(pointer, &invalid).is_ok() {
                accepted.push((pointer.as_str(), invalid));
            }
        }
    }
    assert!(accepted.is_empty(), "{accepted:#?}");
}
