//! Helpers that send requests.

use crate::support::backend::Backend;
use crate::support::client::encode_request;
use crate::support::ingress::IngressProcess;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Returns whether a reply is a rejection, after which a retry is safe.
pub fn is_rejected(reply: &str) -> bool {
    reply.starts_with("-BUSY")
}

/// Returns a unique request id.
pub fn new_request_id() -> String {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    format!("n{}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Sends requests in pairs until one reaches the wanted backend, and returns its reply. Sequential requests
/// might all be sent to the backend that replied first.
pub fn reply_from(ingress: &IngressProcess, class: &str, wanted: &Backend) -> String {
    let (mut client, commands_before) = (ingress.client(), wanted.command_count());
    for _ in 0..200 {
        let ids = [new_request_id(), new_request_id()];
        client.send(&ids.clone().map(|id| encode_request(class, &id, 1500)).concat());
        let replies = ids.map(|id| (client.read_reply(), id));
        let reached = wanted.commands().get(commands_before).map(|command| command[2].clone());
        if let Some((reply, _)) = replies.iter().find(|(_, id)| Some(id) == reached.as_ref()) {
            return reply.clone();
        }
        for (reply, id) in &replies {
            assert_eq!(*reply, format!("value of {id}"));
        }
        thread::sleep(Duration::from_millis(5));
    }
    panic!("none of 400 requests reached the wanted backend");
}
