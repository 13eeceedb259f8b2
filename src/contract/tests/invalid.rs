//! Tests of documents with numbers out of bounds.

use super::*;

/// Numbers that are out of bounds or at the limits of their type.
const INVALID_NUMBERS: [f64; 7] = [
    1e300,
    -1e300,
    f64::INFINITY,
    f64::NEG_INFINITY,
    f64::NAN,
    f64::MIN_POSITIVE,
    -0.0,
];

/// Returns a document with `number` in every fractional field and the greatest integers.
fn invalid_document(number: f64) -> Document {
    Document {
        services: vec![ServiceContract {
            service: "s".into(),
            floor_share: number,
            slots_count: u32::MAX,
            cold_rate_per_s: number,
            routes: vec![RouteContract {
                route: "r".into(),
                deadline_ms: u64::MAX,
                target_ms: u64::MAX,
                body_limit_bytes: u64::MAX,
                attempts_limit_count: u32::MAX,
                ..Default::default()
            }],
            ..Default::default()
        }],
        organisations: vec![OrganisationContract {
            organisation: "o".into(),
            rate_per_s: number,
            burst_count: u32::MAX,
            weight_share: u32::MAX,
            ..Default::default()
        }],
        ..Default::default()
    }
}

#[test]
fn invalid_numbers_of_a_document_are_clamped_to_their_bounds() {
    for number in INVALID_NUMBERS {
        let view = View::from_document(1, &invalid_document(number), Default::default());

        let service = &view.services["s"];
        let rate_per_s = service.cold_rate_per_s;
        assert!(
            (0.0..=check::RATE_LIMIT_PER_S).contains(&rate_per_s),
            "{number}: {rate_per_s}"
        );
        assert!((0.0..=1.0).contains(&service.floor_share), "{number}");
        assert_eq!(service.slots_count, check::SLOTS_LIMIT_COUNT);
        let route = &service.routes[0];
        assert_eq!(route.deadline_ms, check::DEADLINE_LIMIT_MS);
        assert_eq!(route.target_ms, check::DEADLINE_LIMIT_MS);
        assert_eq!(route.body_limit_bytes, check::BODY_LIMIT_BYTES);
        let organisation = &view.organisations["o"];
        let rate_per_s = organisation.rate_per_s;
        assert!(
            (0.0..=check::RATE_LIMIT_PER_S).contains(&rate_per_s),
            "{number}: {rate_per_s}"
        );
        assert_eq!(organisation.burst_count, check::BURST_LIMIT_COUNT);
        assert_eq!(organisation.weight_share, check::WEIGHT_LIMIT_SHARE);
    }
}

#[test]
fn valid_numbers_of_a_document_are_not_changed() {
    // Arrange
    let service = ServiceContract {
        service: "s".into(),
        cold_rate_per_s: 16.5,
        routes: vec![RouteContract {
            route: "r".into(),
            target_ms: 300,
            ..Default::default()
        }],
        ..Default::default()
    };
    let organisation = OrganisationContract {
        organisation: "o".into(),
        rate_per_s: 0.5,
        burst_count: 0,
        weight_share: 0,
        unlimited: true,
        ..Default::default()
    };
    let document = Document {
        services: vec![service.clone()],
        organisations: vec![organisation.clone()],
        ..Default::default()
    };

    // Act
    let view = View::from_document(1, &document, Default::default());

    // Assert
    assert_eq!(*view.services["s"], service);
    assert_eq!(*view.organisations["o"], organisation);
}
