//! Keeps docs/CONFIGURATION.md true to the settings and contracts.

use std::collections::BTreeMap;

use banyanbeam::contract::{OrganisationContract, RouteContract, ServiceContract};
use banyanbeam::settings::operator::OperatorEntry;
use banyanbeam::settings::Settings;
use serde::Serialize;
use serde_json::Value;

const PAGE: &str = include_str!("../docs/CONFIGURATION.md");

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

/// Every field of the structs with its default, as `section.field`.
fn expected() -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    flatten("settings", &json(&Settings::default()), &mut fields);
    flatten(
        "operator-entry",
        &json(&OperatorEntry::default()),
        &mut fields,
    );
    flatten(
        "organisation",
        &json(&OrganisationContract::default()),
        &mut fields,
    );
    flatten("service", &json(&ServiceContract::default()), &mut fields);
    flatten("route", &json(&RouteContract::default()), &mut fields);
    fields
}

fn json<T: Serialize>(value: &T) -> Value {
    serde_json::to_value(value).expect("settings become JSON")
}

/// Rows of the page: field and default.
fn documented() -> BTreeMap<String, String> {
    let mut rows = BTreeMap::new();
    for line in PAGE.lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        if cells.len() < 6 || !cells[1].starts_with('`') {
            continue;
        }
        let bare = |cell: &str| cell.trim_matches('`').to_owned();
        rows.insert(bare(cells[1]), bare(cells[4]));
    }
    rows
}

#[test]
fn every_field_stands_on_the_page_with_its_default() {
    let documented = documented();
    for (field, default) in expected() {
        let row = documented.get(&field);
        assert_eq!(
            row,
            Some(&default),
            "field {field} on docs/CONFIGURATION.md"
        );
    }
}

#[test]
fn the_page_names_no_field_that_does_not_exist() {
    let expected = expected();
    for field in documented().keys() {
        assert!(
            expected.contains_key(field),
            "{field} is no setting or contract field"
        );
    }
}
