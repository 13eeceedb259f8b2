use std::collections::HashMap;
use std::time::Duration;

use super::message::{AnswerVerdict, LoadPlan, LoadRequest, LoadResult};
use super::report::LoadReport;
use super::state::check_answer;
use crate::error::{ErrorKind, Ran};
use crate::front::answer::refusal;
use crate::types::format_id;
use crate::wire::exchange::WholeAnswer;
use crate::wire::forward::REQUEST;

/// Returns the request that the tests pretend to have sent.
fn sent() -> LoadRequest {
    LoadRequest {
        organisation: "o".into(),
        service: "s".into(),
        key: "k".to_owned(),
        method: "GET".to_owned(),
        target: "/x".to_owned(),
        body_bytes: 3,
        repeatable: false,
    }
}

/// Returns a server's answer with id 7 in its header and these values in its body.
fn answer_of(organisation: &str, id_in_body: u128) -> WholeAnswer {
    let body = serde_json::json!({
        "request": format_id(id_in_body),
        "organisation": organisation,
        "path": "/x",
        "body_bytes": 3,
    });
    WholeAnswer {
        status: 200,
        headers: vec![(REQUEST.to_owned(), format_id(7))],
        body: body.to_string().into(),
    }
}

/// Returns a plan whose mix holds only the request of `sent`.
fn plan() -> LoadPlan {
    LoadPlan {
        fronts: Vec::new(),
        direct: false,
        mix: vec![sent()],
        request_count: 0,
        rate_per_s: None,
        worker_count: 1,
        deadline: Duration::from_secs(1),
        seed: 1,
    }
}

/// Returns a report on one request with this verdict.
fn report_with(verdict: AnswerVerdict) -> LoadReport {
    let plan = plan();
    let mut report = LoadReport::new(&plan);
    let result = LoadResult {
        kind_index: 0,
        request: Some(7),
        verdict,
        elapsed: Duration::ZERO,
    };
    report.add(&plan, &result);
    report
}

#[test]
fn an_answer_to_another_request_is_rejected() {
    assert!(matches!(
        check_answer(&sent(), &answer_of("o", 8)),
        AnswerVerdict::Untrue(_)
    ));
}

#[test]
fn an_answer_run_for_another_organisation_is_rejected() {
    assert!(matches!(
        check_answer(&sent(), &answer_of("p", 7)),
        AnswerVerdict::Untrue(_)
    ));
}

#[test]
fn a_complete_answer_to_this_request_is_accepted() {
    assert_eq!(
        check_answer(&sent(), &answer_of("o", 7)),
        AnswerVerdict::Answered
    );
}

#[test]
fn a_refusal_keeps_its_kind_and_whether_the_request_ran() {
    let verdict = check_answer(&sent(), &refusal(7, ErrorKind::Busy, None));
    assert_eq!(
        verdict,
        AnswerVerdict::Refused {
            kind: "busy".to_owned(),
            ran: Ran::No
        }
    );
}

#[test]
fn a_run_of_a_request_refused_as_not_run_is_a_problem() {
    // Arrange
    let mut report = report_with(AnswerVerdict::Refused {
        kind: "busy".to_owned(),
        ran: Ran::No,
    });

    // Act
    report.compare_with_runs(&HashMap::from([(7, 1)]));

    // Assert
    assert!(!report.is_consistent());
}

#[test]
fn a_second_run_of_a_request_that_is_not_repeatable_is_a_problem() {
    let mut report = report_with(AnswerVerdict::Answered);
    report.compare_with_runs(&HashMap::from([(7, 2)]));
    assert!(!report.is_consistent());
}

#[test]
fn one_run_of_an_answered_request_is_consistent() {
    let mut report = report_with(AnswerVerdict::Answered);
    report.compare_with_runs(&HashMap::from([(7, 1)]));
    assert!(report.is_consistent());
}
