//! Errors of parsing commands.

use thiserror::Error;

/// The reason for rejecting a command. The text is sent to the client.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CommandError {
    /// The command has too many or too few arguments.
    #[error("{expected} arguments are wanted, with the command")]
    ArgumentCount {
        /// The number of arguments of the verb, the verb included.
        expected: usize,
    },
    /// The customer is malformed or out of range.
    #[error("the customer is no number of 16 hex digits below 2^33")]
    InvalidCustomer,
    /// The request id is empty, too long or not printable.
    #[error("the id is no plain word")]
    InvalidId,
    /// An option is not a pair of name and value.
    #[error("an option has no '='")]
    OptionWithoutValue,
    /// An option's value is not an integer within its limit.
    #[error("{option} is no whole number up to {max}")]
    InvalidInteger { option: &'static str, max: u64 },
    /// An option's value is not a plain decimal number.
    #[error("{0} is no number")]
    InvalidNumber(&'static str),
    #[error("{0} is given twice")]
    DuplicateOption(&'static str),
    #[error("{0} is missing")]
    MissingOption(&'static str),
    /// The settings have no class of this name.
    #[error("the class is unknown")]
    UnknownClass,
    /// The settings have no plan of this name.
    #[error("the plan is unknown")]
    UnknownPlan,
    /// The verb does not match the idempotency of the class.
    #[error("CALL.GET is for classes that are safe to repeat, CALL.POST for the others")]
    VerbMismatch,
    /// A number is outside the bounds of the settings.
    #[error("{0} is out of range")]
    OutOfRange(&'static str),
}
