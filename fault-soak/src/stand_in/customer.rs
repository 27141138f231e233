//! The customers of the requests, and the values that clients expect.

use crate::settings::{METERED_PLAN, METERED_SET_SIZE, UNMETERED_PLAN};
use stand_ins::request::Customer;

/// Lowest number of a metered customer; unmetered customers have lower numbers.
const FIRST_METERED_CUSTOMER: u64 = 100_000;

/// Returns a customer of the unmetered plan, which one ingress serves.
pub fn unmetered(number: u64) -> Customer {
    Customer::of_one_ingress(number, UNMETERED_PLAN)
}

/// Returns the customer of the metered plan that consecutive ingresses serve, starting with `set_start`, in a
/// fleet of `ingresses`.
pub fn metered(set_start: usize, ingresses: usize) -> Customer {
    let number = FIRST_METERED_CUSTOMER + set_start as u64;
    Customer { number, plan: METERED_PLAN, set_size: METERED_SET_SIZE.min(ingresses), set_start }
}

/// Returns the value with which backends reply to a request.
pub fn value_of(id: &str) -> String {
    format!("value of {id}")
}
