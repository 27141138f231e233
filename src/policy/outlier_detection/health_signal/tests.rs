//! Tests of [`super`].

use super::*;

/// A timeout, a cancelled attempt and one that was never sent may have causes other than the backend, and a
/// rejection only means that its queue is full. If these counted as failures, healthy backends would be
/// ejected under load.
#[test]
fn outcomes_that_the_backend_did_not_determine_give_no_signal() {
    let is_failure = |outcome| HealthSignal::from_outcome(outcome).map(HealthSignal::is_failure);
    assert_eq!(is_failure(Outcome::Ok), Some(Some(false)));
    assert_eq!(is_failure(Outcome::Rejected), Some(None));
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::ConnectFailed] {
        assert_eq!(is_failure(outcome), Some(Some(true)));
    }
    for outcome in [Outcome::TimedOut, Outcome::Cancelled, Outcome::NotSent] {
        assert_eq!(is_failure(outcome), None);
    }
}
