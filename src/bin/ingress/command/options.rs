//! Parses the customer, id and options of a command.
//!
//! No other module uses the names of the options. Options that are not listed are passed to the backend
//! unchecked.
//!
//! | option | term in the code |
//! | --- | --- |
//! | `c` | class of the request |
//! | `t` | plan of the customer |
//! | `d` | timeout, in milliseconds |
//! | `k` | idempotency key |
//! | `units` | units that the request takes from the quota |
//! | `spread` | `gateway_set_size`: how many gateways share the customer's requests |
//! | `first` | `gateway_set_start`: the first of these gateways |

use super::error::CommandError;
use super::{CommandSchema, Verb};
use ingress::{Duration, Idempotency};
use std::ops::Range;

/// Names of the options on the wire.
mod name {
    pub const CLASS: &str = "c";
    pub const PLAN: &str = "t";
    pub const TIMEOUT: &str = "d";
    pub const IDEMPOTENCY_KEY: &str = "k";
    pub const UNITS: &str = "units";
    pub const GATEWAY_SET_SIZE: &str = "spread";
    pub const GATEWAY_SET_START: &str = "first";
}

/// Maximum timeout that a client may set, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// Maximum size or start of a gateway set that is accepted by the parser.
const MAX_GATEWAY_NUMBER: u64 = 65_535;
/// Maximum length of an id or idempotency key, in bytes.
const MAX_TOKEN_BYTES: usize = 64;
/// Maximum number of digits of an integer.
const MAX_INTEGER_DIGITS: usize = 10;
/// Maximum length of a decimal number, in bytes.
const MAX_NUMBER_BYTES: usize = 20;
/// Number of hex digits of a customer.
const CUSTOMER_DIGITS: usize = 16;
/// Exclusive upper bound of customer numbers.
const CUSTOMER_LIMIT: u64 = 1 << 33;

/// The timeout option of a command.
#[derive(Clone, Debug)]
pub struct TimeoutOption {
    /// The time for which the client waits for the reply.
    pub duration: Duration,
    /// The range of the value in the text of the options.
    pub position: Range<usize>,
}

/// The units that a request takes from its customer's quota, and the gateways that share that quota.
pub struct QuotaParameters {
    /// The units that the request takes.
    pub units: f64,
    /// The number of gateways that share the customer's requests.
    pub gateway_set_size: u64,
    /// The first gateway of the set.
    pub gateway_set_start: u64,
}

/// The options of a command as received, each `None` if it is missing.
#[derive(Default)]
pub struct Options<'a> {
    class: Option<&'a [u8]>,
    plan: Option<&'a [u8]>,
    timeout: Option<TimeoutOption>,
    idempotency_key: Option<&'a [u8]>,
    units: Option<f64>,
    /// The number of gateways that share the customer's requests.
    gateway_set_size: Option<u64>,
    /// The first gateway of the set.
    gateway_set_start: Option<u64>,
}

impl<'a> Options<'a> {
    /// Parses options that are separated by commas.
    pub fn parse(text: &'a [u8]) -> Result<Self, CommandError> {
        let mut options = Options::default();
        let mut start = 0;
        for option in text.split(|byte| *byte == b',') {
            options.add(option, start)?;
            start += option.len() + 1;
        }
        Ok(options)
    }

    /// Parses the option that begins at `start` in the text of the options.
    fn add(&mut self, option: &'a [u8], start: usize) -> Result<(), CommandError> {
        let equals = option.iter().position(|byte| *byte == b'=').ok_or(CommandError::OptionWithoutValue)?;
        let (name, value) = (&option[..equals], &option[equals + 1..]);
        // A name that is not UTF-8 is none of the listed names.
        match std::str::from_utf8(name).unwrap_or_default() {
            name::CLASS => set_once(&mut self.class, value, name::CLASS),
            name::PLAN => set_once(&mut self.plan, value, name::PLAN),
            name::IDEMPOTENCY_KEY => set_once(&mut self.idempotency_key, value, name::IDEMPOTENCY_KEY),
            name::TIMEOUT => {
                let duration = Duration::from_millis(parse_integer(value, MAX_TIMEOUT_MS, name::TIMEOUT)?);
                let position = start + equals + 1..start + option.len();
                set_once(&mut self.timeout, TimeoutOption { duration, position }, name::TIMEOUT)
            }
            name::UNITS => set_once(&mut self.units, parse_number(value, name::UNITS)?, name::UNITS),
            name::GATEWAY_SET_SIZE => {
                let size = parse_integer(value, MAX_GATEWAY_NUMBER, name::GATEWAY_SET_SIZE)?;
                set_once(&mut self.gateway_set_size, size, name::GATEWAY_SET_SIZE)
            }
            name::GATEWAY_SET_START => {
                let first = parse_integer(value, MAX_GATEWAY_NUMBER, name::GATEWAY_SET_START)?;
                set_once(&mut self.gateway_set_start, first, name::GATEWAY_SET_START)
            }
            _ => Ok(()),
        }
    }

    /// Returns the index of the request's class in the schema.
    pub fn class_index(&self, schema: &CommandSchema) -> Result<usize, CommandError> {
        let class_name = self.class.ok_or(CommandError::MissingOption(name::CLASS))?;
        let index = schema.classes.iter().position(|class| class.name.as_bytes() == class_name);
        index.ok_or(CommandError::UnknownClass)
    }

    /// Returns the index of the customer's plan in the schema.
    pub fn plan_index(&self, schema: &CommandSchema) -> Result<usize, CommandError> {
        let plan_name = self.plan.ok_or(CommandError::MissingOption(name::PLAN))?;
        let index = schema.plans.iter().position(|plan| plan.as_bytes() == plan_name);
        index.ok_or(CommandError::UnknownPlan)
    }

    pub fn timeout(&self) -> Result<TimeoutOption, CommandError> {
        self.timeout.clone().ok_or(CommandError::MissingOption(name::TIMEOUT))
    }

    /// Checks that the verb matches the idempotency of the class, and that a key is given if the class
    /// requires one.
    pub fn check_idempotency(&self, verb: Verb, idempotency: Idempotency) -> Result<(), CommandError> {
        if !verb.matches_idempotency(idempotency) {
            return Err(CommandError::VerbMismatch);
        }
        let needs_key = matches!(idempotency, Idempotency::Keyed { .. });
        if needs_key && !self.idempotency_key.is_some_and(is_token) {
            return Err(CommandError::MissingOption(name::IDEMPOTENCY_KEY));
        }
        Ok(())
    }

    /// Returns the units and gateway set, checked against the settings: a number out of range must reach
    /// neither the customer's record in the gateway nor a backend.
    pub fn quota_parameters(&self, schema: &CommandSchema) -> Result<QuotaParameters, CommandError> {
        let units = self.units.ok_or(CommandError::MissingOption(name::UNITS))?;
        let gateway_set_size =
            self.gateway_set_size.ok_or(CommandError::MissingOption(name::GATEWAY_SET_SIZE))?;
        let gateway_set_start =
            self.gateway_set_start.ok_or(CommandError::MissingOption(name::GATEWAY_SET_START))?;
        check_range(units > 0.0 && units <= schema.max_units, name::UNITS)?;
        check_range((1..=schema.gateway_count).contains(&gateway_set_size), name::GATEWAY_SET_SIZE)?;
        check_range(gateway_set_start < schema.gateway_count, name::GATEWAY_SET_START)?;
        Ok(QuotaParameters { units, gateway_set_size, gateway_set_start })
    }
}

/// Sets the value of an option. A second value is an error.
fn set_once<T>(option: &mut Option<T>, value: T, name: &'static str) -> Result<(), CommandError> {
    match option.replace(value) {
        None => Ok(()),
        Some(_) => Err(CommandError::DuplicateOption(name)),
    }
}

/// Returns an error unless the option is `within` its range.
fn check_range(within: bool, option: &'static str) -> Result<(), CommandError> {
    within.then_some(()).ok_or(CommandError::OutOfRange(option))
}

/// Parses a customer number of [`CUSTOMER_DIGITS`] hex digits.
pub fn parse_customer(text: &[u8]) -> Result<u64, CommandError> {
    let is_hex = text.len() == CUSTOMER_DIGITS && text.iter().all(u8::is_ascii_hexdigit);
    let digits = std::str::from_utf8(text).ok().filter(|_| is_hex);
    let number = digits.and_then(|digits| u64::from_str_radix(digits, 16).ok());
    number.filter(|number| *number < CUSTOMER_LIMIT).ok_or(CommandError::InvalidCustomer)
}

/// Returns whether the text has 1 to [`MAX_TOKEN_BYTES`] bytes, all of them printable ASCII characters other
/// than the space.
pub fn is_token(text: &[u8]) -> bool {
    !text.is_empty() && text.len() <= MAX_TOKEN_BYTES && text.iter().all(u8::is_ascii_graphic)
}

/// Parses an integer of decimal digits, at most `max`.
fn parse_integer(text: &[u8], max: u64, option: &'static str) -> Result<u64, CommandError> {
    let is_plain =
        !text.is_empty() && text.len() <= MAX_INTEGER_DIGITS && text.iter().all(u8::is_ascii_digit);
    let append = |number: u64, digit: &u8| number * 10 + u64::from(digit - b'0');
    let number = is_plain.then(|| text.iter().fold(0, append));
    number.filter(|number| *number <= max).ok_or(CommandError::InvalidInteger { option, max })
}

/// Parses a non-negative decimal number without sign or exponent.
fn parse_number(text: &[u8], option: &'static str) -> Result<f64, CommandError> {
    let is_digit_or_point = |byte: &u8| byte.is_ascii_digit() || *byte == b'.';
    let is_plain = !text.is_empty() && text.len() <= MAX_NUMBER_BYTES && text.iter().all(is_digit_or_point);
    let digits = std::str::from_utf8(text).ok().filter(|_| is_plain);
    digits.and_then(|digits| digits.parse().ok()).ok_or(CommandError::InvalidNumber(option))
}
