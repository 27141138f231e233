//! Tests of [`super`].

use super::*;
use std::io::Write as _;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use tracing_subscriber::fmt::MakeWriter;

/// A log whose lines the test reads.
#[derive(Clone, Default)]
struct Recorded(Arc<Mutex<Vec<u8>>>);

impl io::Write for Recorded {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl MakeWriter<'_> for Recorded {
    type Writer = Recorded;

    fn make_writer(&self) -> Recorded {
        self.clone()
    }
}

/// A log line has a target, a message and fields, by which operators search the log. Lines below the
/// configured level are not written.
#[test]
fn lines_have_target_message_and_fields() {
    let recorded = Recorded::default();
    let subscriber = tracing_subscriber::fmt().with_max_level(LevelFilter::INFO);
    let subscriber = subscriber.with_writer(recorded.clone()).event_format(LineFormat).finish();
    tracing::subscriber::with_default(subscriber, || {
        tracing::info!(target: "reload", address = %"127.0.0.1:1", attempts = 2, "configuration reloaded");
        tracing::info!(target: NO_TARGET, "load_shedding: stage changed");
        tracing::debug!(target: "reload", "not logged");
    });
    let log = String::from_utf8(recorded.0.lock().unwrap().clone()).unwrap();
    let expected = "ingress: reload: configuration reloaded, address=127.0.0.1:1 attempts=2\n\
                    ingress: load_shedding: stage changed\n";
    assert_eq!(log, expected);
}

/// A log that reports when a line is about to be written, and then blocks until the test releases it.
struct BlockedLog {
    reached: Sender<()>,
    released: Receiver<()>,
}

impl io::Write for BlockedLog {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.reached.send(());
        let _ = self.released.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The log is a pipe that is not read. The event loop must not wait for space in it, which would block all
/// clients permanently; further lines are dropped instead.
#[test]
fn a_blocked_log_drops_lines_without_blocking_the_writer() {
    let ((reached, is_reached), (release, released)) = (channel(), channel());
    let (mut writer, guard) = buffered_writer(BlockedLog { reached, released });
    let dropped = writer.error_counter();
    writer.write_all(b"first\n").unwrap();
    is_reached.recv().unwrap();
    let lines = MAX_BUFFERED_LINES + 100;
    (0..lines).for_each(|_| writer.write_all(b"line\n").unwrap());
    assert!(dropped.dropped_lines() >= 100, "lines beyond the buffer are dropped");
    drop(release);
    drop(guard);
}
