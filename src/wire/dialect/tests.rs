use super::*;

fn answer(status: u16, request: Option<RequestId>) -> WholeAnswer {
    let id = request.map(|request| (REQUEST.to_owned(), format_id(request)));
    WholeAnswer {
        status,
        headers: id.into_iter().collect(),
        ..Default::default()
    }
}

#[test]
fn an_answer_with_the_id_of_another_request_is_foreign() {
    let id = format_id(1);
    for (request, expected) in [
        (Some(1), AnswerMatch::Own),
        (None, AnswerMatch::Own),
        (Some(2), AnswerMatch::Foreign),
    ] {
        let found = FleetDialect.answer_match(Some(&id), &answer(200, request), false);
        assert_eq!(found, expected, "{request:?}");
    }
}

#[test]
fn a_503_of_a_server_is_never_taken_as_not_run() {
    assert_eq!(
        FleetDialect.answer_meaning(&answer(503, None)),
        AnswerMeaning::Ran
    );
}
