//! The `CALL` commands: parsed strictly as clients send them, and encoded again for a backend with the
//! timeout of the attempt.

mod error;
mod options;
mod template;

pub use error::CommandError;
use ingress::{CustomerId, Duration, Idempotency, Request};
use options::{is_token, parse_customer, Options};
use std::ops::Range;
use template::CommandTemplate;

/// The name of a request class in commands, and its idempotency.
pub struct ClassSchema {
    pub name: String,
    /// Whether a request of this class may be executed more than once.
    pub idempotency: Idempotency,
}

/// The constraints on commands from the settings: the names of classes and plans, and the bounds of numbers.
pub struct CommandSchema {
    /// The classes of requests; a request's class is an index into this list.
    pub classes: Vec<ClassSchema>,
    /// The names of the plans; a request's plan is an index into this list.
    pub plans: Vec<String>,
    /// Maximum number of units of a request.
    pub max_units: f64,
    /// The number of gateways in the fleet.
    pub gateway_count: u64,
}

/// The verb of a command.
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

    /// Returns the number of arguments of a command with this verb, the verb included.
    fn argument_count(self) -> usize {
        match self {
            Verb::Get => 4,
            Verb::Post => 5,
        }
    }

    /// Returns whether the verb is used for classes of this idempotency.
    fn matches_idempotency(self, idempotency: Idempotency) -> bool {
        (self == Verb::Get) == (idempotency == Idempotency::Idempotent)
    }
}

/// A client's request, with the encoded command for the backend.
#[derive(Debug)]
pub struct Command {
    /// The request for the gateway, whose id and deadline the caller sets.
    pub request: Request,
    /// The time for which the client waits for the reply.
    pub timeout: Duration,
    /// The command as it was received, without its timeout.
    template: CommandTemplate,
}

impl Command {
    /// Parses a command from the ranges of its arguments in `buffer`, the verb first. Returns `None` if the
    /// verb is unknown.
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
        let [_, customer, client_request_id, options, ..] = arguments else {
            return Err(CommandError::ArgumentCount { expected: verb.argument_count() });
        };
        let customer = parse_customer(customer)?;
        if !is_token(client_request_id) {
            return Err(CommandError::InvalidId);
        }
        let options = Options::parse(options)?;
        let class = options.class_index(schema)?;
        let plan = options.plan_index(schema)?;
        let timeout = options.timeout()?;
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

    pub fn client_request_id(&self) -> &[u8] {
        self.template.request_id()
    }

    /// Appends the command for a backend, with the time that is left for the attempt.
    pub fn encode(&self, timeout: Duration, out: &mut Vec<u8>) {
        self.template.encode(timeout, out);
    }

    /// Returns the approximate memory size of the command, in bytes.
    pub fn memory_size(&self) -> usize {
        self.template.allocated() + std::mem::size_of::<Command>()
    }
}

#[cfg(test)]
mod tests;
