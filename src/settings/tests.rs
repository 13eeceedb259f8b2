mod invalid;
mod merge;

use super::*;

#[test]
fn defaults_pass_their_own_check() {
    assert!(Settings::default().check().is_ok());
}

#[test]
fn an_out_of_range_value_is_reported_with_its_field() {
    // Arrange
    let settings = Settings {
        front: front::FrontSettings {
            worker_count: 0,
            ..Default::default()
        },
        ..Default::default()
    };

    // Act
    let error = settings.check().unwrap_err().to_string();

    // Assert
    assert_eq!(
        error,
        "setting front.worker_count: 0 must be from 1 to 1024"
    );
}

#[test]
fn an_unknown_field_is_reported_by_name() {
    let error = serde_json::from_str::<Settings>(r#"{"front": {"prot": 1}}"#).unwrap_err();
    assert!(error.to_string().contains("prot"), "{error}");
}

#[test]
fn the_default_secret_is_refused_if_other_vms_reach_the_daemon() {
    // Arrange
    let settings = Settings {
        link: link::LinkSettings {
            address: "0.0.0.0:8083".parse().unwrap(),
            ..Default::default()
        },
        ..Default::default()
    };

    // Act
    let error = settings.check().unwrap_err().to_string();

    // Assert
    assert!(error.contains("daemon.fleet_secret"), "{error}");
}
