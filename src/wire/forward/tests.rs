use super::*;

/// Returns an example of a head, with a value in every field.
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
        terms: AttemptTerms {
            wait_limit_ms: Some(0),
            ..Default::default()
        },
        entry: "d1".into(),
        view: 4,
        incarnation: 3,
        fingerprint: [5; 32],
        remaining: Duration::from_millis(500),
        hung_after: Some(Duration::from_millis(250)),
        era: 2,
    }
}

#[test]
fn a_head_survives_encoding_and_decoding() {
    let key = FleetKey::new("a secret of the fleet");
    let headers = [head().encode(&key)];
    assert_eq!(ForwardHead::decode(&headers, &key), Some(head()));
}

#[test]
fn a_head_without_its_later_fields_lets_the_run_last_to_its_deadline() {
    // Arrange
    let key = FleetKey::new("a secret of the fleet");
    let mut bytes = postcard::to_stdvec(&head()).expect("a binary form");
    // Without the later fields, the time and the era are missing.
    let whole = bytes.len();
    let without = postcard::to_stdvec(&ForwardHead {
        hung_after: None,
        ..head()
    });
    bytes.truncate(without.expect("a binary form").len() - LATER_FIELD_COUNT);
    assert!(bytes.len() < whole);
    let proof = key.sign(&[&bytes]);
    bytes.extend_from_slice(&proof);
    let headers = [(HEAD.to_owned(), BASE64_URL_SAFE_NO_PAD.encode(bytes))];

    // Act
    let decoded = ForwardHead::decode(&headers, &key);

    // Assert
    let expected = ForwardHead {
        hung_after: None,
        era: 0,
        ..head()
    };
    assert_eq!(decoded, Some(expected));
}

#[test]
fn a_head_with_a_forged_organisation_is_refused() {
    // Arrange
    let key = FleetKey::new("a secret of the fleet");
    let (name, text) = head().encode(&key);
    let mut bytes = BASE64_URL_SAFE_NO_PAD.decode(text).expect("base64");

    // Act
    let own = b"opticians";
    let place = bytes.windows(own.len()).position(|part| part == own);
    let place = place.expect("the head contains the organisation");
    bytes[place..place + own.len()].copy_from_slice(b"pensioner");
    let forged = [(name, BASE64_URL_SAFE_NO_PAD.encode(bytes))];

    // Assert
    assert_eq!(ForwardHead::decode(&forged, &key), None);
}

#[test]
fn a_truncated_head_is_refused() {
    let key = FleetKey::new("a secret of the fleet");
    let (name, text) = head().encode(&key);
    for length in 0..text.len() {
        let cut = [(name.clone(), text[..length].to_owned())];
        assert_eq!(ForwardHead::decode(&cut, &key), None, "{length}");
    }
}

#[test]
fn a_head_with_the_longest_duration_does_not_overflow_the_clock() {
    let key = FleetKey::new("a secret of the fleet");
    let endless = ForwardHead {
        remaining: Duration::MAX,
        ..head()
    };
    let read = ForwardHead::decode(&[endless.encode(&key)], &key).expect("a good proof");
    let now = std::time::Instant::now();
    assert!(now.checked_add(read.remaining).is_some());
}

#[test]
fn decoding_a_corrupted_head_never_panics() {
    use rand::{Rng, SeedableRng};

    let key = FleetKey::new("a secret of the fleet");
    let good = postcard::to_stdvec(&head()).expect("plain values have a binary form");
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    for _ in 0..5_000 {
        // Arrange
        let mut bytes = good.clone();
        for _ in 0..random.random_range(1..6) {
            let place = random.random_range(0..bytes.len());
            bytes[place] = random.random();
        }
        bytes.truncate(random.random_range(0..=2 * bytes.len()));
        let proof = key.sign(&[&bytes]);
        bytes.extend_from_slice(&proof);

        // Act
        let headers = [(HEAD.to_owned(), BASE64_URL_SAFE_NO_PAD.encode(bytes))];
        let read = ForwardHead::decode(&headers, &key);

        // Assert
        assert!(read.is_none_or(|head| head.remaining <= REMAINING_LIMIT));
    }
}
