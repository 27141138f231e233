//! The `CALL` commands: strictly parsed as clients send them, and encoded again for a backend with the attempt's own
//! timeout.

use crate::resp;
use ingress::{CustomerId, Idempotency, Micros, Request};
use std::ops::Range;
use thiserror::Error;

/// Why a command is rejected; clients are sent the text.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CommandError {
    /// Too many or too few arguments.
    #[error("{expected} arguments are wanted, with the command")]
    ArgumentCount {
        /// How many arguments the verb has, itself included.
        expected: usize,
    },
    /// The customer is malformed or out of range.
    #[error("the customer is no number of 16 hex digits below 2^33")]
    InvalidCustomer,
    /// The request's id is empty, too long or not printable.
    #[error("the id is no plain word")]
    InvalidId,
    /// An option is not a pair of name and value.
    #[error("an option has no '='")]
    OptionWithoutValue,
    /// An option's value is not an integer within its limit.
    #[error("{option} is no whole number up to {max}")]
    InvalidInteger {
        /// The option's name.
        option: &'static str,
        /// The highest value accepted.
        max: u64,
    },
    /// An option's value is not a plain decimal number.
    #[error("{0} is no number")]
    InvalidNumber(&'static str),
    /// An option occurs twice.
    #[error("{0} is given twice")]
    DuplicateOption(&'static str),
    /// A required option does not occur.
    #[error("{0} is missing")]
    MissingOption(&'static str),
    /// The settings have no class of that name.
    #[error("the class is unknown")]
    UnknownClass,
    /// The settings have no plan of that name.
    #[error("the plan is unknown")]
    UnknownPlan,
    /// The verb is not the one for the class's idempotency.
    #[error("CALL.GET is for classes that are safe to repeat, CALL.POST for the others")]
    VerbMismatch,
    /// A number is beyond what the settings allow.
    #[error("{0} is out of range")]
    OutOfRange(&'static str),
}

/// A class of requests, as commands name it.
pub struct ClassSchema {
    /// The class's name in commands.
    pub name: String,
    /// Whether a request of this class may be executed more than once.
    pub idempotency: Idempotency,
}

/// What the settings say about commands: the names they may use and the bounds of their numbers.
pub struct CommandSchema {
    /// The classes of requests; a request's class is its place here.
    pub classes: Vec<ClassSchema>,
    /// The names of the plans; a request's plan is its place here.
    pub plans: Vec<String>,
    /// The most units that a request may cost.
    pub max_units: f64,
    /// How many gateways there are.
    pub gateway_count: u64,
}

/// The verbs of the commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verb {
    /// A request of an idempotent class, without a body.
    Get,
    /// A request of any other class, with a body.
    Post,
}

impl Verb {
    fn parse(text: &[u8]) -> Option<Verb> {
        match text {
            b"CALL.GET" => Some(Verb::Get),
            b"CALL.POST" => Some(Verb::Post),
            _ => None,
        }
    }

    /// How many arguments a command with this verb has, the verb included.
    fn argument_count(self) -> usize {
        match self {
            Verb::Get => 4,
            Verb::Post => 5,
        }
    }

    /// Whether the verb is the one for a class of this idempotency.
    fn suits(self, idempotency: Idempotency) -> bool {
        (self == Verb::Get) == (idempotency == Idempotency::Idempotent)
    }
}

/// A client's request.
#[derive(Debug)]
pub struct Command {
    /// The request as the gateway is told of it; the caller fills in its id and deadline.
    pub request: Request,
    /// How long the client waits for the reply.
    pub timeout: Micros,
    /// The command as it was sent, less its timeout.
    template: CommandTemplate,
}

impl Command {
    /// Parses a command from its arguments' places in `buffer`, the verb first; `None` if the verb is another one.
    pub fn parse(
        buffer: &[u8],
        arguments: &[Range<usize>],
        schema: &CommandSchema,
    ) -> Option<Result<Command, CommandError>> {
        let verb = Verb::parse(&buffer[arguments.first()?.clone()])?;
        let expected = verb.argument_count();
        if arguments.len() != expected {
            return Some(Err(CommandError::ArgumentCount { expected }));
        }
        let arguments: Vec<&[u8]> = arguments.iter().map(|range| &buffer[range.clone()]).collect();
        Some(Command::parse_arguments(verb, &arguments, schema))
    }

    fn parse_arguments(
        verb: Verb,
        arguments: &[&[u8]],
        schema: &CommandSchema,
    ) -> Result<Command, CommandError> {
        let customer = parse_customer(arguments[1])?;
        if !is_token(arguments[2]) {
            return Err(CommandError::InvalidId);
        }
        let options = Options::parse(arguments[3])?;
        let class_name = options.class.ok_or(CommandError::MissingOption("c"))?;
        let class = schema.classes.iter().position(|class| class.name.as_bytes() == class_name);
        let class = class.ok_or(CommandError::UnknownClass)?;
        let plan_name = options.plan.ok_or(CommandError::MissingOption("t"))?;
        let plan = schema.plans.iter().position(|plan| plan.as_bytes() == plan_name);
        let plan = plan.ok_or(CommandError::UnknownPlan)?;
        let timeout = options.timeout.clone().ok_or(CommandError::MissingOption("d"))?;
        options.check_idempotency(verb, schema.classes[class].idempotency)?;
        let quota = options.quota_parameters(schema)?;
        let request = Request {
            class: u8::try_from(class).map_err(|_| CommandError::UnknownClass)?,
            plan: u16::try_from(plan).map_err(|_| CommandError::UnknownPlan)?,
            customer: CustomerId(customer),
            units: quota.units,
            gateway_set_size: quota.gateway_set_size as f64,
            gateway_set_start: quota.gateway_set_start as f64,
            ..Request::default()
        };
        let template = CommandTemplate::new(arguments, timeout.position);
        Ok(Command { request, timeout: timeout.duration, template })
    }

    /// The id that the client gave the request.
    pub fn client_request_id(&self) -> &[u8] {
        self.template.request_id()
    }

    /// Appends the command as a backend gets it, with the time that is left for the attempt.
    pub fn encode(&self, timeout: Micros, out: &mut Vec<u8>) {
        self.template.encode(timeout, out);
    }

    /// Roughly how much memory the command takes.
    pub fn memory_size(&self) -> usize {
        self.template.allocated() + std::mem::size_of::<Command>()
    }
}

/// The longest timeout that a client may ask for, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// The highest size or start of a gateway set that can be written.
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
    pub duration: Micros,
    /// Where the option's value is in the options' text.
    pub position: Range<usize>,
}

/// What a request takes from its customer's quota, and which gateways share that quota.
pub struct QuotaParameters {
    /// How many units it takes.
    pub units: f64,
    /// How many gateways the customer's requests are spread over.
    pub gateway_set_size: u64,
    /// The first of these gateways.
    pub gateway_set_start: u64,
}

/// A command's options as they were sent, each `None` if it is missing. Others than these are the backend's concern.
#[derive(Default)]
pub struct Options<'a> {
    /// `c`: the name of the request's class.
    pub class: Option<&'a [u8]>,
    /// `t`: the name of the customer's plan.
    pub plan: Option<&'a [u8]>,
    /// `d`: how long the client waits.
    pub timeout: Option<TimeoutOption>,
    /// `k`: the idempotency key.
    idempotency_key: Option<&'a [u8]>,
    units: Option<f64>,
    /// `spread`.
    gateway_set_size: Option<u64>,
    /// `first`.
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
                let duration = parse_integer(value, MAX_TIMEOUT_MS, "d")? * 1000;
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

    /// What the request takes from the quota. What is out of range reaches neither the gateway, which would keep it in the
    /// customer's record, nor a backend.
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

/// Fills in an option's value, once.
fn set_once<T>(option: &mut Option<T>, value: T, name: &'static str) -> Result<(), CommandError> {
    match option.replace(value) {
        None => Ok(()),
        Some(_) => Err(CommandError::DuplicateOption(name)),
    }
}

/// Passes what is within its range.
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

/// Whether the text is a short word of printable ASCII characters.
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

/// What an encoded command is expected to take besides its options and body, and besides a body's bytes.
const EXPECTED_OVERHEAD: usize = 96;
const EXPECTED_BODY_OVERHEAD: usize = 16;
/// How many arguments come before the options.
const ARGUMENTS_BEFORE_OPTIONS: usize = 3;

/// An encoded command without the two things that change with its timeout: the options' length and the timeout.
#[derive(Debug)]
pub struct CommandTemplate {
    /// Where the request's id is.
    request_id: Range<usize>,
    bytes: Vec<u8>,
    /// Where the options begin.
    options_start: usize,
    /// Where the timeout belongs.
    timeout_position: usize,
    /// Where the options end.
    options_end: usize,
}

impl CommandTemplate {
    /// Encodes the arguments of a command, whose options have the timeout's value at `timeout`.
    pub fn new(arguments: &[&[u8]], timeout: Range<usize>) -> Self {
        let (before_options, rest) = arguments.split_at(ARGUMENTS_BEFORE_OPTIONS);
        let (options, bodies) = (rest[0], &rest[1..]);
        let body_size = bodies.first().map_or(0, |body| body.len() + EXPECTED_BODY_OVERHEAD);
        let mut bytes = Vec::with_capacity(EXPECTED_OVERHEAD + options.len() + body_size);
        resp::write_array_header(&mut bytes, arguments.len());
        before_options.iter().for_each(|argument| resp::write_bulk_string(&mut bytes, &[argument]));
        let options_start = bytes.len();
        let id_end = options_start - b"\r\n".len();
        let id_len = before_options.last().map_or(0, |id| id.len());
        bytes.extend_from_slice(&options[..timeout.start]);
        let timeout_position = bytes.len();
        bytes.extend_from_slice(&options[timeout.end..]);
        let options_end = bytes.len();
        bodies.iter().for_each(|body| resp::write_bulk_string(&mut bytes, &[body]));
        let request_id = id_end - id_len..id_end;
        CommandTemplate { request_id, bytes, options_start, timeout_position, options_end }
    }

    /// The id that the client gave the request.
    pub fn request_id(&self) -> &[u8] {
        &self.bytes[self.request_id.clone()]
    }

    /// Appends the command with this timeout.
    pub fn encode(&self, timeout: Micros, out: &mut Vec<u8>) {
        let timeout_ms = (timeout / 1000).max(1).to_string();
        let before_timeout = &self.bytes[self.options_start..self.timeout_position];
        let after_timeout = &self.bytes[self.timeout_position..self.options_end];
        out.extend_from_slice(&self.bytes[..self.options_start]);
        resp::write_bulk_string(out, &[before_timeout, timeout_ms.as_bytes(), after_timeout]);
        out.extend_from_slice(&self.bytes[self.options_end..]);
    }

    /// How many bytes are allocated for it.
    pub fn allocated(&self) -> usize {
        self.bytes.capacity()
    }
}

#[cfg(test)]
mod tests;
