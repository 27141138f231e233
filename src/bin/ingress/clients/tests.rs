//! Tests of [`super`].

use super::*;
use crate::command::ClassSchema;
use ingress::Idempotency;
use mio::Poll;

const T: Micros = 1_000_000_000;

struct Rig {
    clients: Clients,
    poll: Poll,
    at: std::net::SocketAddr,
}

impl Rig {
    fn new(memory: usize) -> Rig {
        let listener = TcpListener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let (at, classes) = (
            listener.local_addr().unwrap(),
            vec![ClassSchema { name: "quote".into(), idempotency: Idempotency::Idempotent }],
        );
        let words =
            CommandSchema { classes, plans: vec!["starter".into()], max_units: 1.0, gateway_count: 1 };
        Rig { clients: Clients::new(listener, words, memory, Token), poll: Poll::new().unwrap(), at }
    }

    /// A client that has been accepted.
    fn client(&mut self, room: Capacity) -> std::net::TcpStream {
        let client = std::net::TcpStream::connect(self.at).unwrap();
        client.set_read_timeout(Some(std::time::Duration::from_secs(5))).unwrap();
        let before = self.clients.len();
        while self.clients.len() == before {
            self.clients.accept(self.poll.registry(), T, |_| room);
        }
        client
    }

    /// Has a client send a request, and gives where its answer belongs.
    fn request(&mut self, client: &mut std::net::TcpStream) -> ReplyHandle {
        client.write_all(&call()).unwrap();
        for _ in 0..1_000_000 {
            self.clients.read_all(T);
            if let Some(ClientEvent::Command { reply_to, .. }) = self.clients.next_event() {
                return reply_to;
            }
        }
        panic!("the request did not come");
    }
}

fn call() -> Vec<u8> {
    let mut out = Vec::new();
    resp::write_array_header(&mut out, 4);
    for word in ["CALL.GET", "0000000000000001", "q1", "c=quote,t=starter,d=900,units=1,spread=1,first=0"] {
        resp::write_bulk_string(&mut out, &[word.as_bytes()]);
    }
    out
}

fn hears(client: &mut std::net::TcpStream, want: &[u8]) {
    let mut got = vec![0; want.len()];
    client.read_exact(&mut got).expect("the whole answer");
    assert!(got == want, "{:?}", String::from_utf8_lossy(&got[..got.len().min(40)]));
}

/// Guards against taking a client for gone by the time since it asked: the answer is not even written yet.
#[test]
fn an_answer_that_took_long_is_not_taken_for_unread() {
    let mut rig = Rig::new(1 << 20);
    let mut client = rig.client(Capacity::Available);
    let origin = rig.request(&mut client);
    rig.clients.reply(origin, b"+late\r\n");
    rig.clients.close_expired(T + UNREAD + 1_000_000);
    rig.clients.flush(T + UNREAD + 1_000_000);
    hears(&mut client, b"+late\r\n");
}

/// Guards against ending a connection for what it holds while that is its own answer, on its way this very turn.
#[test]
fn an_answer_on_its_way_is_not_dropped_for_the_memory_that_it_takes() {
    let mut rig = Rig::new(10_000);
    let mut client = rig.client(Capacity::Available);
    let origin = rig.request(&mut client);
    let answer = [b"$60000\r\n", &[b'x'; 60_000][..], b"\r\n"].concat();
    rig.clients.reply(origin, &answer);
    rig.clients.read_all(T);
    rig.clients.flush(T);
    hears(&mut client, &answer);
}

/// Guards against an error for half a command whose rest has come, though nobody has read it yet.
#[test]
fn the_rest_of_a_command_that_has_come_is_read_before_it_is_called_missing() {
    let mut rig = Rig::new(1 << 20);
    let mut client = rig.client(Capacity::Available);
    client.write_all(b"*1\r\n$4\r\nPI").unwrap();
    while rig.clients.idle_count() > 0 {
        rig.clients.read_all(T);
    }
    client.write_all(b"NG\r\n").unwrap();
    rig.clients.close_expired(T + PATIENCE + 1);
    rig.clients.flush(T + PATIENCE + 1);
    hears(&mut client, b"+PONG\r\n");
}

/// Guards against closing a connection without a word that was taken in only to be told that there is no room, and
/// has asked by now.
#[test]
fn one_that_is_to_be_told_of_no_room_is_told_so_before_its_time_is_over() {
    let mut rig = Rig::new(1 << 20);
    let mut client = rig.client(Capacity::OverLimit);
    client.write_all(&call()).unwrap();
    rig.clients.close_expired(T + LINGER);
    rig.clients.flush(T + LINGER);
    hears(&mut client, b"-BUSY\r\n");
    rig.clients.close_expired(T + 3 * LINGER);
    assert_eq!(rig.clients.len(), 0, "told and gone");
}
