//! Parsing a command's customer, id and options.
//!
//! This is the one place that knows the names of the options. Options that are not listed are the backend's concern.
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

/// The longest timeout that a client may set, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// The highest size or start of a gateway set that is parsed.
const MAX_GATEWAY_NUMBER: u64 = 65_535;
/// The most bytes of an id or idempotency key.
const MAX_TOKEN_LEN: usize = 64;
/// The most digits of an integer.
const MAX_INTEGER_DIGITS: usize = 10;
/// The most characters of a decimal number.
const MAX_NUMBER_LEN: usize = 20;
/// How many hex digits name a customer.
const CUSTOMER_DIGITS: usize = 16;
/// Customers are numbers below this.
const CUSTOMER_LIMIT: u64 = 1 << 33;

/// The option that says how long the client waits.
#[derive(Clone, Debug)]
pub struct TimeoutOption {
    /// How long the client waits.
    pub duration: Duration,
    /// Where the option's value is in the options' text.
    pub position: Range<usize>,
}

/// How much a request takes from its customer's quota, and which gateways share that quota.
pub struct QuotaParameters {
    /// How many units it takes.
    pub units: f64,
    /// How many gateways the customer's requests are spread over.
    pub gateway_set_size: u64,
    /// The first of these gateways.
    pub gateway_set_start: u64,
}

/// A command's options as they were sent, each `None` if it is missing.
#[derive(Default)]
pub struct Options<'a> {
    /// The name of the request's class.
    pub class: Option<&'a [u8]>,
    /// The name of the customer's plan.
    pub plan: Option<&'a [u8]>,
    /// How long the client waits.
    pub timeout: Option<TimeoutOption>,
    /// The idempotency key.
    idempotency_key: Option<&'a [u8]>,
    /// How much quota the request takes.
    units: Option<f64>,
    /// How many gateways the customer's requests are spread over.
    gateway_set_size: Option<u64>,
    /// The first of these gateways.
    gateway_set_start: Option<u64>,
}

impl<'a> Options<'a> {
    /// Parses options separated by commas.
    pub fn parse(text: &'a [u8]) -> Result<Self, CommandError> {
        let mut options = Options::default();
        let mut start = 0;
        for option in text.split(|byte| *byte == b',') {
            options.add(option, start)?;
            start += option.len() + 1;
        }
        Ok(options)
    }

    /// Parses the option that begins at `start` in the options' text.
    fn add(&mut self, option: &'a [u8], start: usize) -> Result<(), CommandError> {
        let equals = option.iter().position(|byte| *byte == b'=').ok_or(CommandError::OptionWithoutValue)?;
        let (name, value) = (&option[..equals], &option[equals + 1..]);
        match name {
            b"c" => set_once(&mut self.class, value, "c"),
            b"t" => set_once(&mut self.plan, value, "t"),
            b"k" => set_once(&mut self.idempotency_key, value, "k"),
            b"d" => {
                let duration = Duration::from_millis(parse_integer(value, MAX_TIMEOUT_MS, "d")?);
                let position = start + equals + 1..start + option.len();
                set_once(&mut self.timeout, TimeoutOption { duration, position }, "d")
            }
            b"units" => set_once(&mut self.units, parse_number(value, "units")?, "units"),
            b"spread" => {
                let size = parse_integer(value, MAX_GATEWAY_NUMBER, "spread")?;
                set_once(&mut self.gateway_set_size, size, "spread")
            }
            b"first" => {
                let first = parse_integer(value, MAX_GATEWAY_NUMBER, "first")?;
                set_once(&mut self.gateway_set_start, first, "first")
            }
            _ => Ok(()),
        }
    }

    /// Checks that the verb is the one for the class, and that a key is given where the class needs one.
    pub fn check_idempotency(&self, verb: Verb, idempotency: Idempotency) -> Result<(), CommandError> {
        if !verb.suits(idempotency) {
            return Err(CommandError::VerbMismatch);
        }
        let needs_key = matches!(idempotency, Idempotency::Keyed { .. });
        if needs_key && !self.idempotency_key.is_some_and(is_token) {
            return Err(CommandError::MissingOption("k"));
        }
        Ok(())
    }

    /// The request's units and gateway set, checked against the settings: a number out of range must reach neither the
    /// customer's record in the gateway nor a backend.
    pub fn quota_parameters(&self, schema: &CommandSchema) -> Result<QuotaParameters, CommandError> {
        let units = self.units.ok_or(CommandError::MissingOption("units"))?;
        let gateway_set_size = self.gateway_set_size.ok_or(CommandError::MissingOption("spread"))?;
        let gateway_set_start = self.gateway_set_start.ok_or(CommandError::MissingOption("first"))?;
        check_range(units > 0.0 && units <= schema.max_units, "units")?;
        check_range((1..=schema.gateway_count).contains(&gateway_set_size), "spread")?;
        check_range(gateway_set_start < schema.gateway_count, "first")?;
        Ok(QuotaParameters { units, gateway_set_size, gateway_set_start })
    }
}

/// Sets an option's value; a second one is an error.
fn set_once<T>(option: &mut Option<T>, value: T, name: &'static str) -> Result<(), CommandError> {
    match option.replace(value) {
        None => Ok(()),
        Some(_) => Err(CommandError::DuplicateOption(name)),
    }
}

/// Returns an error unless an option's value is within its range.
fn check_range(within: bool, option: &'static str) -> Result<(), CommandError> {
    within.then_some(()).ok_or(CommandError::OutOfRange(option))
}

/// Parses a customer's number.
pub fn parse_customer(text: &[u8]) -> Result<u64, CommandError> {
    let is_hex = text.len() == CUSTOMER_DIGITS && text.iter().all(u8::is_ascii_hexdigit);
    let digits = std::str::from_utf8(text).ok().filter(|_| is_hex);
    let number = digits.and_then(|digits| u64::from_str_radix(digits, 16).ok());
    number.filter(|number| *number < CUSTOMER_LIMIT).ok_or(CommandError::InvalidCustomer)
}

/// Whether the text is short, not empty and made of printable ASCII characters without spaces.
pub fn is_token(text: &[u8]) -> bool {
    !text.is_empty() && text.len() <= MAX_TOKEN_LEN && text.iter().all(u8::is_ascii_graphic)
}

/// Parses an integer of plain digits, at most `max`.
fn parse_integer(text: &[u8], max: u64, option: &'static str) -> Result<u64, CommandError> {
    let is_plain =
        !text.is_empty() && text.len() <= MAX_INTEGER_DIGITS && text.iter().all(u8::is_ascii_digit);
    let append = |number: u64, digit: &u8| number * 10 + u64::from(digit - b'0');
    let number = is_plain.then(|| text.iter().fold(0, append));
    number.filter(|number| *number <= max).ok_or(CommandError::InvalidInteger { option, max })
}

/// Parses a number from zero up, in plain digits with or without a fraction.
fn parse_number(text: &[u8], option: &'static str) -> Result<f64, CommandError> {
    let is_digit_or_point = |byte: &u8| byte.is_ascii_digit() || *byte == b'.';
    let is_plain = !text.is_empty() && text.len() <= MAX_NUMBER_LEN && text.iter().all(is_digit_or_point);
    let digits = std::str::from_utf8(text).ok().filter(|_| is_plain);
    digits.and_then(|digits| digits.parse().ok()).ok_or(CommandError::InvalidNumber(option))
}
