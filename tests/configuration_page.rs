//! Checks that docs/CONFIGURATION.md lists exactly the fields of settings and contracts.

use std::collections::BTreeMap;

use banyanbeam::contract::{OrganisationContract, RouteContract, ServiceContract};
use banyanbeam::settings::operator::OperatorEntry;
use banyanbeam::settings::Settings;
use serde::Serialize;
use serde_json::Value;

/// Text of the page.
const PAGE: &str = include_str!("../docs/CONFIGURATION.md");

/// Adds each leaf of a JSON value to `fields` under its dotted path.
fn flatten(prefix: &str, value: &Value, fields: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(members) => {
            for (name, member) in members {
                flatten(&format!("{prefix}.{name}"), member, fields);
            }
        }
        other => {
            fields.insert(prefix.to_owned(), other.to_string());
        }
    }
}

/// Returns every field of settings and contracts, as `section.field`, with its default.
fn expected_fields() -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    flatten("settings", &to_json(&Settings::default()), &mut fields);
    flatten(
        "operator-entry",
        &to_json(&OperatorEntry::default()),
        &mut fields,
    );
    flatten(
        "organisation",
        &to_json(&OrganisationContract::default()),
        &mut fields,
    );
    flatten(
        "service",
        &to_json(&ServiceContract::default()),
        &mut fields,
    );
    flatten("route", &to_json(&RouteContract::default()), &mut fields);
    fields
}

fn to_json<T: Serialize>(value: &T) -> Value {
    serde_json::to_value(value).expect("settings become JSON")
}

/// Returns the fields and defaults in the tables of the page.
fn documented_fields() -> BTreeMap<String, String> {
    let mut rows = BTreeMap::new();
    for line in PAGE.lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        if cells.len() < 6 || !cells[1].starts_with('`') {
            continue;
        }
        let without_backticks = |cell: &str| cell.trim_matches('`').to_owned();
        rows.insert(without_backticks(cells[1]), without_backticks(cells[4]));
    }
    rows
}

#[test]
fn page_lists_every_field_with_its_default() {
    let documented = documented_fields();
    for (field, default) in expected_fields() {
        let row = documented.get(&field);
        assert_eq!(
            row,
            Some(&default),
            "field {field} on docs/CONFIGURATION.md"
        );
    }
}

#[test]
fn page_lists_no_unknown_field() {
    let expected = expected_fields();
    for field in documented_fields().keys() {
        assert!(
            expected.contains_key(field),
            "{field} is no setting or contract field"
        );
    }
}
