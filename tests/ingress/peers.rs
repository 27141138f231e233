//! Tests of gossip messages between ingresses.

use crate::support::address::unused_address;
use crate::support::backend::{reply_with_value, Backend};
use crate::support::client::encode_request;
use crate::support::ingress::IngressSetup;
use crate::support::wait::{wait_until, WAIT_LIMIT};
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

const USAGE_REPORTS_KIND: u8 = 0;
const QUOTA_GRANTS_KIND: u8 = 1;
/// Selects the kind of a message in the byte that also contains the count of samples.
const KIND_MASK: u8 = 3;

/// The UDP socket of a peer or of an unknown sender.
struct PeerSocket {
    socket: UdpSocket,
    /// Address at which the ingress receives messages of its peers.
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

    /// Returns the next message of the ingress, if one arrives within the read timeout.
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

fn kind(message: &[u8]) -> u8 {
    message[1] & KIND_MASK
}

/// Returns the number of usage reports or quota grants in a message.
fn entry_count(message: &[u8]) -> u8 {
    message[8]
}

/// Sends a message from a socket and returns whether the ingress then sends quota grants to the peer.
fn triggers_grant(from: &PeerSocket, message: &[u8], peer: &PeerSocket) -> bool {
    from.send(message);
    (0..5).filter_map(|_| peer.receive()).any(|answer| kind(&answer) == QUOTA_GRANTS_KIND)
}

/// Sets the flag of a usage report that requests a grant.
fn with_grant_requested(mut report: Vec<u8>) -> Vec<u8> {
    let first = 9 + 4 * usize::from(report[1] >> 2);
    report[first + 8] |= 2;
    report
}

/// Any host that reaches the port can send datagrams to an ingress. If it accepted those of unknown senders,
/// or truncated or overlong ones, a forged usage report could use up a customer's quota. Messages of the
/// ingress are 256 bytes at most, the limit of the network between peers.
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
    // The customer's gateway set contains both gateways, so its usage is reported to the peer.
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
    // The same message with a grant requested is answered only if the peer sends it.
    let message = with_grant_requested(report.unwrap());
    while peer.receive().is_some() {}
    assert!(
        !triggers_grant(&unknown_sender, &message, &peer),
        "a message from an unknown sender was accepted"
    );
    assert!(!triggers_grant(&peer, &message[..message.len() - 1], &peer), "a truncated message was accepted");
    assert!(
        !triggers_grant(&peer, &[&message[..], &[0; 1000]].concat(), &peer),
        "an overlong message was accepted"
    );
    assert!(triggers_grant(&peer, &message, &peer), "a valid message from the peer was not answered");
    assert_eq!(client.round_trip(&encode_request("quote", "q2", 900)), "value of q2");
}
