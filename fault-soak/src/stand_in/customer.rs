//! The customers that requests are sent for, and the values that they expect.

use crate::settings::{METERED_PLAN, METERED_SET_SIZE, UNMETERED_PLAN};
use stand_ins::request::Customer;

/// The number of the first customer with a quota within reach; other customers have lower ones.
const FIRST_METERED_CUSTOMER: u64 = 100_000;

/// A customer with a quota that it does not reach.
pub fn unmetered(number: u64) -> Customer {
    Customer::of_one_ingress(number, UNMETERED_PLAN)
}

/// The customer with a quota within reach that is served by some ingresses in a row, out of so many, from
/// this one on.
pub fn metered(set_start: usize, ingresses: usize) -> Customer {
    let number = FIRST_METERED_CUSTOMER + set_start as u64;
    Customer { number, plan: METERED_PLAN, set_size: METERED_SET_SIZE.min(ingresses), set_start }
}

/// The value that backends give for a request.
pub fn value_of(id: &str) -> String {
    format!("value of {id}")
}
