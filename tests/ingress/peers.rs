//! Messages between ingresses.

use crate::support::address::unused_address;
use crate::support::backend::{reply_with_value, Backend};
use crate::support::client::encode_request;
use crate::support::ingress::IngressSetup;
use crate::support::wait::{wait_until, WAIT_LIMIT};
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

/// The kind of a message with usage reports.
const USAGE_REPORTS_KIND: u8 = 0;
/// The kind of a message with quota grants.
const QUOTA_GRANTS_KIND: u8 = 1;
/// Selects the kind, in the byte that also holds the count of samples.
const KIND_MASK: u8 = 3;

/// The UDP socket of a peer, or of a host that is not a peer.
struct PeerSocket {
    socket: UdpSocket,
    /// Where the ingress receives the messages of its peers.
    ingress: SocketAddr,
}

impl PeerSocket {
    fn bind(ingress: SocketAddr) -> PeerSocket {
        let socket = UdpSocket::bind(unused_address()).unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
        PeerSocket { socket, ingress }
    }

    fn address(&self) -> SocketAddr {
        self.socket.local_addr().unwrap()
    }

    /// The next message of the ingress, if one comes within the timeout.
    fn receive(&self) -> Option<Vec<u8>> {
        let mut buffer = [0; 2000];
        let (length, from) = self.socket.recv_from(&mut buffer).ok()?;
        assert!(from == self.ingress && length <= 256, "{length} bytes from {from}");
        Some(buffer[..length].to_vec())
    }

    fn send(&self, message: &[u8]) {
        self.socket.send_to(message, self.ingress).unwrap();
    }
}

/// The kind of a message.
fn kind(message: &[u8]) -> u8 {
    message[1] & KIND_MASK
}

/// How many usage reports or quota grants a message has.
fn entry_count(message: &[u8]) -> u8 {
    message[8]
}

/// Whether the ingress sends an answer to the peer after a message from a socket.
fn triggers_answer(from: &PeerSocket, message: &[u8], peer: &PeerSocket) -> bool {
    from.send(message);
    (0..5).filter_map(|_| peer.receive()).any(|answer| kind(&answer) == QUOTA_GRANTS_KIND)
}

/// A usage report with the flag set that requests an answer.
fn with_answer_requested(mut report: Vec<u8>) -> Vec<u8> {
    let first = 9 + 4 * usize::from(report[1] >> 2);
    report[first + 8] |= 2;
    report
}

/// Anybody who can reach the port may send datagrams to an ingress. If it believed those of an unknown sender, or cut or
/// overlong ones, a forged usage report would use up a customer's quota; only a complete message from a peer's address
/// is answered. What the ingress sends is 256 bytes at most, the limit of the network between peers.
#[test]
fn only_complete_messages_from_the_address_of_a_peer_are_answered() {
    let backend = Backend::start(reply_with_value);
    let mut setup = IngressSetup::with_backends(&[&backend]);
    let own = unused_address();
    let (peer, unknown_sender) = (PeerSocket::bind(own), PeerSocket::bind(own));
    setup.replace_setting("\"may_probe\":true,\"peers\":false", "\"may_probe\":true,\"peers\":true");
    setup.replace_setting("\"n_instances\":1", "\"n_instances\":2");
    setup.extra_keys =
        format!(r#""peer_listen":"{own}","peers":["{own}","{0}"],"peers_all":"{0}","#, peer.address());
    let ingress = setup.start();
    // A request of a customer whose set has both gateways: its usage is reported to the peer.
    let mut client = ingress.client();
    let request =
        String::from_utf8(encode_request("quote", "q1", 900)).unwrap().replace("spread=1", "spread=2");
    let start = Instant::now();
    client.send(request.as_bytes());
    let mut report = None;
    wait_until("the peer gets a report", || {
        report =
            peer.receive().filter(|message| kind(message) == USAGE_REPORTS_KIND && entry_count(message) > 0);
        report.is_some() || start.elapsed() > WAIT_LIMIT
    });
    assert_eq!(client.read_reply(), "value of q1");
    // The same message, asking for an answer, brings one if it comes from the peer, and only then.
    let message = with_answer_requested(report.unwrap());
    while peer.receive().is_some() {}
    assert!(
        !triggers_answer(&unknown_sender, &message, &peer),
        "a message from an unknown sender was accepted"
    );
    assert!(!triggers_answer(&peer, &message[..message.len() - 1], &peer), "half a message was believed");
    assert!(
        !triggers_answer(&peer, &[&message[..], &[0; 1000]].concat(), &peer),
        "a long message was believed"
    );
    assert!(triggers_answer(&peer, &message, &peer), "the peer was not heard");
    assert_eq!(client.round_trip(&encode_request("quote", "q2", 900)), "value of q2");
}
