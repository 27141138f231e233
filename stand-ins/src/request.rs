//! Commands with which clients send requests.

use crate::resp::encode_command;
use serde::Serialize;
use std::str::FromStr;

/// Body of requests that have one.
const BODY: &str = "BODY";
/// Command option with the idempotency key of a keyed request.
const KEY_OPTION: &str = ",k=00ff";

/// The class of a request, which determines whether it may be executed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum RequestClass {
    /// The request may always be executed again.
    Idempotent,
    /// The request may be executed again within the window of its idempotency key.
    Keyed,
    /// The request must not be executed again.
    NonIdempotent,
}

/// The error for a text that is not the name of a class.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown request class {0:?}: expected quote, save or refer")]
pub struct UnknownClass(String);

impl RequestClass {
    /// Returns the name of the class in the settings of all test deployments.
    pub fn name(self) -> &'static str {
        match self {
            RequestClass::Idempotent => "quote",
            RequestClass::Keyed => "save",
            RequestClass::NonIdempotent => "refer",
        }
    }
}

impl FromStr for RequestClass {
    type Err = UnknownClass;

    fn from_str(name: &str) -> Result<RequestClass, UnknownClass> {
        match name {
            "quote" => Ok(RequestClass::Idempotent),
            "save" => Ok(RequestClass::Keyed),
            "refer" => Ok(RequestClass::NonIdempotent),
            _ => Err(UnknownClass(name.to_string())),
        }
    }
}

/// A customer and the ingresses that serve it.
#[derive(Clone, Copy, Debug)]
pub struct Customer {
    /// Id of the customer, sent as 16 hexadecimal digits.
    pub number: u64,
    /// Name of the customer's plan.
    pub plan: &'static str,
    /// Number of ingresses that serve the customer.
    pub set_size: usize,
    /// Number of the first ingress that serves the customer.
    pub set_start: usize,
}

impl Customer {
    /// Creates a customer that only one ingress serves.
    pub fn of_one_ingress(number: u64, plan: &'static str) -> Customer {
        Customer { number, plan, set_size: 1, set_start: 0 }
    }
}

/// Encodes a request as a RESP2 command.
pub fn encode_request(class: RequestClass, id: &str, customer: Customer, timeout_ms: u64) -> Vec<u8> {
    let Customer { number, plan, set_size, set_start } = customer;
    let customer = format!("{number:016x}");
    let class_name = class.name();
    let key = if class == RequestClass::Keyed { KEY_OPTION } else { "" };
    let options =
        format!("c={class_name},t={plan},d={timeout_ms}{key},units=1,spread={set_size},first={set_start}");
    match class {
        RequestClass::Idempotent => encode_command(&["CALL.GET", &customer, id, &options]),
        RequestClass::Keyed | RequestClass::NonIdempotent => {
            encode_command(&["CALL.POST", &customer, id, &options, BODY])
        }
    }
}
