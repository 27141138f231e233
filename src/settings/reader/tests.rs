//! Tests of [`super`].

use super::{SettingsError, SettingsReader};

fn parse(text: &str) -> Result<(), SettingsError> {
    SettingsReader::from_lines(text)?.settings().map(|_| ())
}

/// One setting is missing or invalid. Without its key or line in the error, an operator would have to compare
/// a long file with the documentation line by line.
#[test]
fn errors_contain_the_key_or_line_at_fault() {
    let err = parse("grades.count=1\n").unwrap_err().to_string();
    assert!(err.contains("grades.0.effect"), "{err}");
    let err = parse("grades.count=0\ngrades.0.worth=1\n").unwrap_err().to_string();
    assert!(err.contains("grades.count"), "{err}");
    let err = parse("nonsense\n").unwrap_err().to_string();
    assert!(err.contains("line 1"), "{err}");
    let err =
        parse("grades.count=0\ncontracts.count=1\ncontracts.0.quota_rate=inf\n").unwrap_err().to_string();
    assert!(err.contains("contracts.0.quota_rate"), "{err}");
}
