//! Tests of the check of request headers.

mod changed_view;

use std::time::Instant;

use super::check::check_request;
use crate::error::ErrorKind;
use crate::settings::front::FrontSettings;
use crate::wire::dialect::FleetDialect;
use crate::wire::exchange::RawHead;

/// Returns the head of a `GET` request with these headers.
fn raw(headers: &[(&str, &str)]) -> RawHead {
    let headers = headers
        .iter()
        .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
        .collect();
    RawHead {
        method: "GET".to_owned(),
        target: "/x".to_owned(),
        headers,
        ..Default::default()
    }
}

/// Returns the error with which a request with these headers is refused, if it is.
fn refused(headers: &[(&str, &str)]) -> Option<ErrorKind> {
    check_request(
        &FrontSettings::default(),
        &FleetDialect,
        1,
        Instant::now(),
        &raw(headers),
    )
    .err()
}

#[test]
fn a_request_with_two_body_framings_is_refused() {
    let headers = [("Content-Length", "5"), ("Transfer-Encoding", "chunked")];
    assert_eq!(refused(&headers), Some(ErrorKind::BadFraming));
}

#[test]
fn a_content_length_with_a_sign_is_refused() {
    assert_eq!(
        refused(&[("Content-Length", "+5")]),
        Some(ErrorKind::BadFraming)
    );
}

#[test]
fn a_request_with_two_api_keys_is_refused() {
    let headers = [("Authorization", "Bearer a"), ("authorization", "Bearer b")];
    assert_eq!(refused(&headers), Some(ErrorKind::BadRequest));
}

#[test]
fn api_key_hop_headers_and_fleet_headers_are_not_forwarded() {
    // Arrange
    let headers = [
        ("Authorization", "Bearer a"),
        ("Connection", "close"),
        ("X-Banyanbeam-Organisation", "forged"),
        ("Accept", "text/plain"),
    ];

    // Act
    let head = check_request(
        &FrontSettings::default(),
        &FleetDialect,
        1,
        Instant::now(),
        &raw(&headers),
    )
    .unwrap();

    // Assert
    assert_eq!(
        head.headers,
        vec![("Accept".to_owned(), "text/plain".to_owned())]
    );
    assert!(head.key_hash.is_some());
}

#[test]
fn a_body_without_a_length_is_refused() {
    let headers = [("Transfer-Encoding", "chunked")];
    assert_eq!(refused(&headers), Some(ErrorKind::LengthRequired));
}
