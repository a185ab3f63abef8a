//! Tests of submission keys.

use crate::submission::key::{SUBMISSION_KEY_MAX_BYTES, SubmissionKey, SubmissionKeyError};

#[test]
fn a_key_carries_its_time_of_issue() {
    let key = SubmissionKey::parse("1700000000123-4f9c-2a61").unwrap();

    assert_eq!(key.issued_unix_ms(), 1_700_000_000_123);
    assert_eq!(key.text(), "1700000000123-4f9c-2a61");
}

#[test]
fn an_invalid_key_error_names_the_fault_and_the_format() {
    let long = format!("1-{}", "x".repeat(SUBMISSION_KEY_MAX_BYTES));
    let cases = [
        ("abc", SubmissionKeyError::NoSeparator),
        ("17x-a", SubmissionKeyError::IssueTime { text: "17x".into() }),
        ("-a", SubmissionKeyError::IssueTime { text: String::new() }),
        ("017-a", SubmissionKeyError::IssueTime { text: "017".into() }),
        (
            "99999999999999999999-a",
            SubmissionKeyError::IssueTime { text: "99999999999999999999".into() },
        ),
        ("17-", SubmissionKeyError::NoUniqueText),
        ("17-a b", SubmissionKeyError::ForbiddenCharacter { character: ' ' }),
        ("17-é", SubmissionKeyError::ForbiddenCharacter { character: 'é' }),
        (&long, SubmissionKeyError::TooLong { bytes: SUBMISSION_KEY_MAX_BYTES + 2 }),
    ];

    for (text, error) in cases {
        assert_eq!(SubmissionKey::parse(text), Err(error.clone()), "{text}");
        assert!(error.to_string().contains("make one as <unix milliseconds"), "{error}");
    }
}
