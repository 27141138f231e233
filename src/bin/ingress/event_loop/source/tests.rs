//! Tests of [`super`].

use super::*;

/// The poll identifies a ready socket by its token. If two sockets shared a token, the ingress would read
/// from the wrong connection and leave the other client without an answer.
#[test]
fn each_source_has_a_unique_token() {
    let fixed = [Source::Listener, Source::Signals, Source::Discovery, Source::Peers];
    let connections = (0..3).flat_map(|key| [Source::Client(key), Source::Backend(key)]);
    for (number, source) in fixed.into_iter().chain(connections).enumerate() {
        assert_eq!((Token::from(source), Source::from(Token(number))), (Token(number), source));
    }
}

/// Two clients send requests with the same id, one after the other, while many sockets are ready. The first
/// one is accepted and the second one gets an error; an unstable sort could accept the duplicate and reject
/// the original.
#[test]
fn sockets_of_equal_rank_are_handled_in_the_order_of_readiness() {
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
