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

/// Guards against handling clients in another order than that in which they became ready: of two requests with one id the
/// first one came in good faith.
#[test]
fn sockets_of_one_kind_are_handled_in_the_order_in_which_they_became_ready() {
    let socket =
        |source: Source| ReadySocket { token: source.into(), readiness: Readiness::Readable, closed: false };
    let clients: Vec<usize> = (0..200).map(|number| number * 73 % 200).collect();
    let mut ready: Vec<ReadySocket> = clients.iter().map(|key| socket(Source::Client(*key))).collect();
    ready.push(socket(Source::Backend(7)));
    ready.push(socket(Source::Discovery));
    sort_for_processing(&mut ready);
    let sources: Vec<Source> = ready.iter().map(ReadySocket::source).collect();
    let first = [Source::Discovery, Source::Backend(7)];
    let expected: Vec<Source> = first.into_iter().chain(clients.into_iter().map(Source::Client)).collect();
    assert_eq!(sources, expected);
}
