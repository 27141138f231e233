//! Why a command is rejected.

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
