//! Where the bytes of an incomplete command of a client are kept.

use crate::resp::CommandSkipper;

/// The memory for an incomplete command.
#[derive(Debug)]
pub enum InputStorage {
    /// The input is short, or consists of unparsed commands.
    Unreserved,
    /// [`INPUT_RESERVATION_BYTES`](super::limits::INPUT_RESERVATION_BYTES) are reserved.
    Reserved,
    /// No memory was available, so the rest of the command is discarded.
    Discarding(CommandSkipper),
}

impl InputStorage {
    /// Returns whether memory is reserved.
    pub fn is_reserved(&self) -> bool {
        matches!(self, InputStorage::Reserved)
    }

    /// Returns whether a command is being discarded.
    pub fn is_discarding(&self) -> bool {
        matches!(self, InputStorage::Discarding(_))
    }

    /// Stops discarding, and returns the skipper of the command that was being discarded.
    pub fn take_skipper(&mut self) -> Option<CommandSkipper> {
        match std::mem::replace(self, InputStorage::Unreserved) {
            InputStorage::Discarding(skipper) => Some(skipper),
            storage => {
                *self = storage;
                None
            }
        }
    }
}
