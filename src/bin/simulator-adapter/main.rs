//! Adapter between the simulator's wire protocol and the library.
//!
//! It translates batches of events into calls of gateways, and their actions into replies. It makes no
//! decisions of its own.

mod error;
mod input;
mod instances;
mod wire;

use error::AdapterError;
use instances::Instances;
use std::io::{self, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Writes a reply to standard output for each batch on standard input, until the input ends.
fn run() -> Result<(), AdapterError> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut instances = Instances::default();
    while let Some(frame) = input::read_frame(&mut input)? {
        let batch = wire::Batch::parse(&frame)?;
        let reply = instances.handle_batch(&batch)?;
        output.write_all(&reply).and_then(|()| output.flush()).map_err(AdapterError::WriteReply)?;
    }
    Ok(())
}
