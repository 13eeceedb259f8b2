use super::*;

fn head() -> ForwardHead {
    ForwardHead {
        request: 7,
        attempt: 1,
        organisation: "opticians".into(),
        service: "orders".into(),
        route: "order".into(),
        server: "s1".into(),
        weight_share: 2,
        repeatable: false,
        foreground: true,
        origin: "orders".into(),
        rank: 2,
        no_wait: true,
        may_probe: false,
        incarnation: 3,
        fingerprint: [5; 32],
        remaining: Duration::from_millis(500),
    }
}

#[test]
fn a_head_is_read_as_it_was_written() {
    let key = FleetKey::new("a secret of the fleet");
    assert_eq!(ForwardHead::decode(&head().encode(&key), &key), Ok(head()));
}

#[test]
fn a_forged_organisation_is_refused() {
    // Arrange
    let key = FleetKey::new("a secret of the fleet");
    let mut headers = head().encode(&key);

    // Act
    let place = headers
        .iter()
        .position(|(name, _)| name == ORGANISATION)
        .unwrap();
    headers[place].1 = "another".to_owned();

    // Assert
    assert_eq!(ForwardHead::decode(&headers, &key), Err(PROOF));
}
