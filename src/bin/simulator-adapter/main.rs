//! The adapter between the simulator's wire protocol and the library. It translates and decides
//! nothing.

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

/// Answers each batch on standard input with a reply on standard output, until the input ends.
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
