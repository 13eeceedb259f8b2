use serde_json::{json, Value};

use super::*;

/// Paths of all numbers in a value, as JSON pointers.
fn numbers(value: &Value, path: &str, found: &mut Vec<String>) {
    match value {
        Value::Number(_) => found.push(path.to_owned()),
        Value::Object(fields) => {
            for (name, field) in fields {
                numbers(field, &format!("{path}/{name}"), found);
            }
        }
        _ => {}
    }
}

fn check_with(path: &str, odd: &Value) -> Result<(), String> {
    let mut value = serde_json::to_value(Settings::default()).expect("plain values become JSON");
    *value.pointer_mut(path).expect("a field") = odd.clone();
    let settings: Settings = serde_json::from_value(value).map_err(|error| error.to_string())?;
    settings.check().map_err(|error| error.to_string())
}

#[test]
fn a_number_beyond_all_bounds_is_refused_in_every_field() {
    let defaults = serde_json::to_value(Settings::default()).expect("plain values become JSON");
    let mut paths = Vec::new();
    numbers(&defaults, "", &mut paths);
    let mut taken = Vec::new();
    for path in &paths {
        for odd in [json!(u64::MAX), json!(1e300), json!(-1e300), json!([[[]]])] {
            if check_with(path, &odd).is_ok() {
                taken.push((path.as_str(), odd));
            }
        }
    }
    assert!(taken.is_empty(), "{taken:#?}");
}
