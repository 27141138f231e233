//! Tests of [`super`].

use super::*;

const NOW: Instant = Instant::from_micros(1_000_000_000);

/// A local agent is silent and polled every second. If each further poll replaced the first, none would stay
/// pending for as long as discovery may let it wait; if none were ever replaced, polls on dead connections
/// would take the places of those in the queue.
#[test]
fn a_poll_is_given_up_only_after_the_longest_time_in_the_queue() {
    let second = Duration::from_secs(1);
    assert_eq!(earlier_poll_place(NOW, &[]), EarlierPollPlace::Free);
    let expected_at = [NOW, NOW + second];
    assert_eq!(earlier_poll_place(NOW + second * 2, &expected_at[..1]), EarlierPollPlace::Free);
    assert_eq!(earlier_poll_place(NOW + second * 6, &expected_at), EarlierPollPlace::Occupied);
    assert_eq!(earlier_poll_place(NOW + second * 7, &expected_at), EarlierPollPlace::Replaces(0));
    let long_poll_first = [NOW + second * 20, NOW];
    assert_eq!(earlier_poll_place(NOW + second * 7, &long_poll_first), EarlierPollPlace::Replaces(1));
}
