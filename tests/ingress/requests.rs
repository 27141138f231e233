//! Requests of several tests: ids, and requests until one reaches a given backend.

use crate::support::backend::Backend;
use crate::support::client::encode_request;
use crate::support::ingress::IngressProcess;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

pub fn is_rejected(answer: &str) -> bool {
    answer.starts_with("-BUSY")
}

/// An id is new with every request.
pub fn new_request_id() -> String {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    format!("n{}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Asks for two requests at once, again and again, until `wanted` has had one, and gives the answer to that. One
/// after the other they might all go to the backend that answered first.
pub fn reply_through(ingress: &IngressProcess, class: &str, wanted: &Backend) -> String {
    let (mut client, before) = (ingress.client(), wanted.command_count());
    for _ in 0..200 {
        let ids = [new_request_id(), new_request_id()];
        client.send(&ids.clone().map(|id| encode_request(class, &id, 1500)).concat());
        let answers = ids.map(|id| (client.read_reply(), id));
        let had = wanted.commands().get(before).map(|c| c[2].clone());
        if let Some((answer, _)) = answers.iter().find(|(_, id)| Some(id) == had.as_ref()) {
            return answer.clone();
        }
        answers.iter().for_each(|(answer, id)| assert_eq!(*answer, format!("value of {id}")));
        thread::sleep(Duration::from_millis(5));
    }
    panic!("400 requests passed it by");
}
