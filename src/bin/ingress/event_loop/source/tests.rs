//! Tests of [`super`].

use super::*;

#[test]
fn each_source_has_a_token_of_its_own() {
    let fixed = [Source::Listener, Source::Signals, Source::Discovery, Source::Peers];
    let connections = (0..3).flat_map(|key| [Source::Client(key), Source::Backend(key)]);
    for (number, source) in fixed.into_iter().chain(connections).enumerate() {
        assert_eq!((Token::from(source), Source::from(Token(number))), (Token(number), source));
    }
}
