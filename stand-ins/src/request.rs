//! The commands by which clients send requests.

use crate::resp::encode_command;
use serde::Serialize;
use std::str::FromStr;

/// The body of a request that has one.
const BODY: &str = "BODY";
/// The idempotency key of a keyed request, as an option.
const KEY_OPTION: &str = ",k=00ff";

/// The class of a request, by whether it may be executed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum RequestClass {
    /// It may always be executed again.
    Idempotent,
    /// It may be executed again within the window of its idempotency key.
    Keyed,
    /// It may never be executed again.
    NonIdempotent,
}

/// A text that is not the name of a class.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("a class is quote, save or refer, not {0:?}")]
pub struct UnknownClass(String);

impl RequestClass {
    /// Its name in the settings of all stand-in deployments.
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

/// A customer, and the ingresses that serve it.
#[derive(Clone, Copy, Debug)]
pub struct Customer {
    /// Its number.
    pub number: u64,
    /// The name of its plan.
    pub plan: &'static str,
    /// How many ingresses serve it.
    pub set_size: usize,
    /// The number of the first of them.
    pub set_start: usize,
}

impl Customer {
    /// A customer that one ingress serves.
    pub fn of_one_ingress(number: u64, plan: &'static str) -> Customer {
        Customer { number, plan, set_size: 1, set_start: 0 }
    }
}

/// The command of a request.
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
