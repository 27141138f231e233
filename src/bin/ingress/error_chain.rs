//! Formats an error together with its sources.

use std::error::Error;
use std::fmt;

/// Displays an error and its sources on one line, such as `listen: cannot listen on 127.0.0.1:80: Permission
/// denied (os error 13)`.
pub struct ErrorChain<'a>(pub &'a dyn Error);

impl fmt::Display for ErrorChain<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)?;
        let mut source = self.0.source();
        while let Some(error) = source {
            write!(formatter, ": {error}")?;
            source = error.source();
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
