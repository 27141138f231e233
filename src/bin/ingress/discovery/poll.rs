//! The response to one poll of discovery.

use super::http::body;
use super::{EndpointList, LocationNames};

/// What a connection to discovery came to.
pub enum Answer {
    /// Not whole yet.
    Partial,
    /// A list, and whether the connection can be used again.
    Whole(EndpointList, bool),
    /// Not to be used.
    Bad(String),
}

pub fn read_answer(buf: &[u8], ended: bool, location_names: &LocationNames, max_body_bytes: usize) -> Answer {
    let (body, goes_on) = match body(buf, ended, max_body_bytes) {
        Ok(None) => return Answer::Partial,
        Ok(Some(found)) => found,
        Err(why) => return Answer::Bad(why),
    };
    match EndpointList::parse(&body, location_names) {
        Ok(list) => Answer::Whole(list, goes_on),
        Err(why) => Answer::Bad(why),
    }
}

#[cfg(test)]
mod tests;
