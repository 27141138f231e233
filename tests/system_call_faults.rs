//! Tests of the ingress with injected system call faults that Linux documents, and with steps of the wall
//! clock.

use test_support as support;

use fault_plan::{ClockStep, FaultPlan, ScheduledFault, SystemCallFault};
use std::io::Write;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use support::backend::{reply_with_value, value_reply, Backend, BackendReply};
use support::client::{encode_request, Client};
use support::discovery::DiscoveryServer;
use support::ingress::{built_program, IngressSetup};
use support::wait::wait_until;

/// Every read returns fewer bytes than have arrived, as the kernel may do. If a short read counted as an
/// empty socket, the rest of the request would stay unread and no client would get an answer. The ingress has
/// to read until a read would block.
#[test]
fn requests_are_served_despite_short_reads() {
    let backend = Backend::start(reply_with_value);
    let mut setup = IngressSetup::with_backends(&[&backend]);
    setup.faults = Some(FaultPlan::single(SystemCallFault::ShortRead, 1.0));
    let ingress = setup.start();
    let mut client = ingress.client();
    for number in 0..40 {
        let id = format!("r{number}");
        assert_eq!(client.round_trip(&encode_request("refer", &id, 5000)), format!("value of {id}"));
    }
}

/// Accepting a connection fails temporarily, for example without free memory. If the ingress disconnected
/// clients that have just connected to make room, their first commands would be lost. It has to wait and
/// accept again.
#[test]
fn new_clients_are_served_despite_temporary_accept_failures() {
    let backend = Backend::start(reply_with_value);
    let mut setup = IngressSetup::with_backends(&[&backend]);
    setup.faults = Some(FaultPlan::single(SystemCallFault::FailedAccept, 0.5));
    let ingress = setup.start();
    let mut clients: Vec<Client> = (0..24).map(|_| ingress.client()).collect();
    ingress.wait_until_input_is_processed();
    for (number, client) in clients.iter_mut().enumerate() {
        let id = format!("r{number}");
        assert_eq!(client.round_trip(&encode_request("quote", &id, 900)), format!("value of {id}"));
    }
}

/// Number of requests that are sent concurrently.
const BATCH_SIZE: usize = 8;

/// Sends this number of batches, each with one request from every client, and reads the replies.
fn send_batches(clients: &mut [Client], batches: usize, name: &str) {
    for batch in 0..batches {
        let id = |number: usize| format!("{name}-{batch}-{number}");
        for (number, client) in clients.iter_mut().enumerate() {
            client.send(&encode_request("quote", &id(number), 2000));
        }
        for (number, client) in clients.iter_mut().enumerate() {
            assert_eq!(client.read_reply(), format!("value of {}", id(number)));
        }
    }
}

/// Steps the ingress's wall clock and then adds a backend whose start time was read from the stepped clock.
/// Returns the number of requests that it receives beside a backend that has run for a long time.
fn requests_at_restarted_backend(step_ms: i64, batches: usize) -> usize {
    let step_at = Duration::from_millis(500);
    let working =
        || Backend::start(|args| BackendReply::Delayed(Duration::from_millis(10), value_reply(args)));
    let (warm, restarted, discovery) = (working(), working(), DiscoveryServer::start());
    let mut setup = IngressSetup::with_backends(&[&warm]);
    setup.discovery = Some(discovery.address);
    let steps = vec![ClockStep { at_ms: step_at.as_millis() as u64, by_ms: step_ms }];
    setup.faults = Some(FaultPlan { clock_steps: steps, ..FaultPlan::default() });
    let ingress = setup.start();
    // The step occurs this long after the start of the process, which precedes the return of `start`.
    thread::sleep(step_at);
    let mut clients: Vec<Client> = (0..BATCH_SIZE).map(|_| ingress.client()).collect();
    send_batches(&mut clients, 4, "before");
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64;
    let entry = restarted.endpoint_json("s-1", "up");
    let entry = entry.replace("\"since_ms\":0", &format!("\"since_ms\":{}", unix_time + step_ms));
    discovery.publish_and_wait(entry);
    send_batches(&mut clients, batches, "after");
    restarted.command_count()
}

/// The wall clock is set back by an hour, and then a backend starts. By a clock reading from before the step
/// it seems to have run for an hour, so it would skip slow start and receive half of all requests before it
/// is warmed up.
#[test]
fn a_backend_is_in_slow_start_after_the_clock_was_set_back() {
    let sent = requests_at_restarted_backend(-3_600_000, 10);
    assert!(sent <= BATCH_SIZE * 10 / 4, "{sent} of {} went to the backend in slow start", BATCH_SIZE * 10);
}

/// A backend sends a reply of 60,000 bytes, and every read returns only a few of them. With a limit of eight
/// reads per reply, the client would get an error for a request that was executed; the reply has to be read
/// completely.
#[test]
fn a_long_reply_is_received_despite_short_reads() {
    let value = "v".repeat(60_000);
    let reply = format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len());
    let backend = Backend::start(move |_| BackendReply::Bytes(reply.clone().into_bytes()));
    let mut setup = IngressSetup::with_backends(&[&backend]);
    setup.faults = Some(FaultPlan::single(SystemCallFault::ShortRead, 1.0));
    let ingress = setup.start();
    let reply = ingress.client().round_trip(&encode_request("refer", "r1", 5000));
    assert!(reply == value, "{} bytes, beginning with {:.40}", reply.len(), reply);
}

/// The log is written to a full pipe without a reader. A blocking write would stop the ingress and all its
/// clients permanently. It has to drop log lines, keep serving, and stop on SIGTERM.
#[test]
fn requests_are_served_while_the_log_pipe_is_full() {
    let (mut log, _unread) = UnixStream::pair().unwrap();
    log.set_nonblocking(true).unwrap();
    while log.write(&[b'x'; 4096]).is_ok() {}
    log.set_nonblocking(false).unwrap();
    let backend = Backend::start(reply_with_value);
    let setup = IngressSetup::with_backends(&[&backend]);
    let mut ingress = setup.start_logging_to(&built_program(), OwnedFd::from(log).into());
    ingress.signal("HUP");
    assert_eq!(ingress.client().round_trip(&encode_request("quote", "q1", 900)), "value of q1");
    ingress.stop();
}

/// Every write to the log fails, for example because the disk is full. The process must not end: clients have
/// to be served, and the ingress has to stop on SIGTERM.
#[test]
fn requests_are_served_while_writes_to_the_log_fail() {
    let backend = Backend::start(reply_with_value);
    let mut setup = IngressSetup::with_backends(&[&backend]);
    setup.faults = Some(FaultPlan::single(SystemCallFault::FailedLog, 1.0));
    let mut ingress = setup.start();
    ingress.signal("HUP");
    assert_eq!(ingress.client().round_trip(&encode_request("quote", "q1", 900)), "value of q1");
    ingress.stop();
    assert_eq!(ingress.log(), "", "no line can be written to the log");
}

/// Asserts that each of 30 consecutive clients gets an answer of any kind.
fn assert_all_are_answered(faults: FaultPlan) {
    let backend = Backend::start(reply_with_value);
    let mut setup = IngressSetup::with_backends(&[&backend]);
    setup.faults = Some(faults);
    let ingress = setup.start();
    for number in 0..30 {
        let reply = ingress.client().round_trip(&encode_request("quote", &format!("q{number}"), 900));
        assert!(!reply.is_empty(), "request {number}: the connection was closed");
    }
}

/// Writing a reply fails because the kernel temporarily has no buffer. If the ingress closed the connection,
/// the client would lose its replies; it has to write them a moment later.
#[test]
fn replies_are_written_despite_temporary_buffer_shortages() {
    assert_all_are_answered(FaultPlan::single(SystemCallFault::NoBufferForWrite, 0.5));
}

/// A client is accepted, and registering its socket with the poll fails temporarily. If the connection were
/// closed, a command that the client has already sent would be lost; the registration has to be retried.
#[test]
fn clients_are_served_despite_temporary_registration_failures() {
    assert_all_are_answered(FaultPlan::single(SystemCallFault::FailedRegistration, 0.5));
}

/// A write accepts no byte and reports no error. If the ingress retried endlessly, no other client would be
/// served and SIGTERM would have no effect; it has to close the connection.
#[test]
fn a_write_of_zero_bytes_does_not_block_the_ingress() {
    let mut setup = IngressSetup::with_backends(&[]);
    let zero_writes =
        ScheduledFault { from_ms: 1000, ..ScheduledFault::always(SystemCallFault::ZeroWrite, 1.0) };
    setup.faults = Some(FaultPlan { faults: vec![zero_writes], ..FaultPlan::default() });
    let mut ingress = setup.start();
    // A PING is answered until the fault starts; from then on the connection is closed.
    wait_until("the fault has started", || ingress.client().ping().is_empty());
    ingress.stop();
}

/// No socket can be opened during the first 0.4 s after the start, as on a machine short of descriptors or
/// buffers. If the process exited with an error, an operator would have to start it again; it has to retry
/// until it is ready.
#[test]
fn the_ingress_starts_despite_a_temporary_socket_shortage() {
    let backend = Backend::start(reply_with_value);
    let mut setup = IngressSetup::with_backends(&[&backend]);
    let no_sockets =
        ScheduledFault { until_ms: 400, ..ScheduledFault::always(SystemCallFault::FailedSocket, 1.0) };
    setup.faults = Some(FaultPlan { faults: vec![no_sockets], ..FaultPlan::default() });
    let ingress = setup.start();
    assert_eq!(ingress.client().round_trip(&encode_request("quote", "q1", 900)), "value of q1");
}

/// The ingress temporarily cannot open sockets, so no request reaches its backend. If that counted as
/// failures of the backend, the ingress would eject it, suspect its whole zone and notify its peers, and a
/// healthy backend would lose requests of the whole fleet because of a shortage on one machine.
#[test]
fn a_local_socket_shortage_does_not_count_as_a_backend_failure() {
    let backend = Backend::start(reply_with_value);
    let mut setup = IngressSetup::with_backends(&[&backend]);
    // Each request needs a new connection, which fails for no other reason.
    setup.replace_setting("\"keepalive_us\":15000000", "\"keepalive_us\":20000");
    setup.replace_setting("\"connect_timeout_us\":250000", "\"connect_timeout_us\":8000000");
    let no_sockets =
        ScheduledFault { from_ms: 1000, ..ScheduledFault::always(SystemCallFault::FailedSocket, 1.0) };
    setup.faults = Some(FaultPlan { faults: vec![no_sockets], ..FaultPlan::default() });
    let mut ingress = setup.start();
    let mut client = ingress.client();
    let mut requests = 0;
    wait_until("the fault affects a request", || {
        requests += 1;
        client.round_trip(&encode_request("quote", &format!("q{requests}"), 900)).starts_with("-BUSY")
    });
    ingress.signal("USR1");
    ingress.wait_until_input_is_processed();
    ingress.stop();
    let log = ingress.log();
    assert!(log.contains("connect_failed=0"), "{log}");
}
