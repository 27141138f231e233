//! The ingress where system calls fail in ways that Linux documents, and where the wall clock is stepped.

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

/// Every read returns fewer bytes than have arrived, as the kernel may do. Formerly the ingress took a short read for
/// an empty socket and waited for more to arrive; with the rest of a request left in the socket nothing more came, and
/// no client got an answer. Now it reads until a read finds nothing.
#[test]
fn requests_are_answered_though_every_read_is_short() {
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

/// Accepting a connection fails for a moment, for example for want of memory. Formerly the ingress closed clients that
/// had just connected and whose first command was on its way, and those requests were lost; now it waits and accepts
/// again.
#[test]
fn new_clients_are_served_though_accepting_fails_for_a_moment() {
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

/// How many requests are sent at once.
const BATCH_SIZE: usize = 8;

/// Sends one request from each client at once, reads the replies, and repeats that for each batch.
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

/// Steps the ingress's wall clock and then starts a backend, whose start time is read from the stepped clock. Returns
/// how many requests it gets next to a backend that has run for long.
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
    // The step comes this long after the process started, which was before it answered.
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

/// The wall clock is set back by an hour, and then a backend starts. By a clock reading from before that step it seems
/// to have run for an hour already. Formerly it got half of all requests before it was warmed up; now it gets no more
/// than a small part of them.
#[test]
fn a_backend_is_in_slow_start_though_the_clock_was_set_back() {
    let sent = requests_at_restarted_backend(-3_600_000, 10);
    assert!(sent <= BATCH_SIZE * 10 / 4, "{sent} of {} went to the backend in slow start", BATCH_SIZE * 10);
}

/// A backend sends a reply of 60,000 bytes, and every read returns only a few of them. Formerly the ingress gave up on
/// the reply after eight reads, and its client got an error, though the request was executed and the value was on its
/// way; now the reply is read to its end.
#[test]
fn a_long_reply_is_taken_though_every_read_is_short() {
    let value = "v".repeat(60_000);
    let reply = format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len());
    let backend = Backend::start(move |_| BackendReply::Bytes(reply.clone().into_bytes()));
    let mut setup = IngressSetup::with_backends(&[&backend]);
    setup.faults = Some(FaultPlan::single(SystemCallFault::ShortRead, 1.0));
    let ingress = setup.start();
    let reply = ingress.client().round_trip(&encode_request("refer", "r1", 5000));
    assert!(reply == value, "{} bytes, beginning with {:.40}", reply.len(), reply);
}

/// The log is a pipe that nobody reads, and it is full. Formerly the ingress waited for room in it and stood still for
/// good, with all its clients; now it goes on serving, drops log lines, and stops on SIGTERM.
#[test]
fn requests_are_answered_though_the_log_is_full() {
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

/// Every write to the log fails, for example because the disk is full. Clients are served all the same, and the
/// ingress stops on SIGTERM as usual; a log is no reason for a process to end.
#[test]
fn requests_are_answered_though_the_log_cannot_be_written() {
    let backend = Backend::start(reply_with_value);
    let mut setup = IngressSetup::with_backends(&[&backend]);
    setup.faults = Some(FaultPlan::single(SystemCallFault::FailedLog, 1.0));
    let mut ingress = setup.start();
    ingress.signal("HUP");
    assert_eq!(ingress.client().round_trip(&encode_request("quote", "q1", 900)), "value of q1");
    ingress.stop();
    assert_eq!(ingress.log(), "", "the log fails");
}

/// Asserts that each of many clients that come one after another gets an answer of any kind.
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

/// The kernel has no buffer for a moment, and writing a reply fails. Formerly the ingress closed the connection, and
/// the client lost the replies that it was owed; now it writes them a moment later.
#[test]
fn replies_are_written_though_there_is_no_buffer_for_a_moment() {
    assert_all_are_answered(FaultPlan::single(SystemCallFault::NoBufferForWrite, 0.5));
}

/// A client is accepted, and registering its socket with the poll fails for a moment. Formerly its connection was
/// closed without a word, and a command on its way was lost; now the registration is tried again.
#[test]
fn clients_are_served_though_registering_fails_for_a_moment() {
    assert_all_are_answered(FaultPlan::single(SystemCallFault::FailedRegistration, 0.5));
}

/// Writing to a connection takes no byte and reports no error. Formerly the ingress tried again without end, so that no
/// other client was served and SIGTERM had no effect; now such a connection is closed.
#[test]
fn a_write_that_takes_nothing_does_not_stop_the_ingress() {
    let mut setup = IngressSetup::with_backends(&[]);
    let zero_writes =
        ScheduledFault { from_ms: 1000, ..ScheduledFault::always(SystemCallFault::ZeroWrite, 1.0) };
    setup.faults = Some(FaultPlan { faults: vec![zero_writes], ..FaultPlan::default() });
    let mut ingress = setup.start();
    // Until the fault begins a PING is answered; from then on the connection is closed.
    wait_until("the fault has begun", || ingress.client().ping().is_empty());
    ingress.stop();
}

/// No socket can be opened during the first 0.4 s of a start, as on a machine that is short of descriptors or buffers.
/// Formerly the process ended with an error, and an operator had to start it again; now it tries until it is ready.
#[test]
fn the_ingress_starts_though_no_socket_can_be_made_for_a_moment() {
    let backend = Backend::start(reply_with_value);
    let mut setup = IngressSetup::with_backends(&[&backend]);
    let no_sockets =
        ScheduledFault { until_ms: 400, ..ScheduledFault::always(SystemCallFault::FailedSocket, 1.0) };
    setup.faults = Some(FaultPlan { faults: vec![no_sockets], ..FaultPlan::default() });
    let ingress = setup.start();
    assert_eq!(ingress.client().round_trip(&encode_request("quote", "q1", 900)), "value of q1");
}

/// The ingress cannot open sockets for a while, so that no request reaches its backend. Formerly it counted that as
/// failures of the backend, ejected it, suspected its whole zone and notified its peers: a healthy backend lost
/// requests everywhere for a shortage on one machine. Now it counts against no backend.
#[test]
fn no_backend_is_blamed_for_a_socket_that_cannot_be_made() {
    let backend = Backend::start(reply_with_value);
    let mut setup = IngressSetup::with_backends(&[&backend]);
    // Each request needs a connection of its own, which fails for nothing else.
    setup.replace_setting("\"keepalive_us\":15000000", "\"keepalive_us\":20000");
    setup.replace_setting("\"connect_timeout_us\":250000", "\"connect_timeout_us\":8000000");
    let no_sockets =
        ScheduledFault { from_ms: 1000, ..ScheduledFault::always(SystemCallFault::FailedSocket, 1.0) };
    setup.faults = Some(FaultPlan { faults: vec![no_sockets], ..FaultPlan::default() });
    let mut ingress = setup.start();
    let mut client = ingress.client();
    let mut requests = 0;
    wait_until("a request meets the fault", || {
        requests += 1;
        client.round_trip(&encode_request("quote", &format!("q{requests}"), 900)).starts_with("-BUSY")
    });
    ingress.signal("USR1");
    ingress.wait_until_input_is_processed();
    ingress.stop();
    let log = ingress.log();
    assert!(log.contains("connect_failed=0"), "{log}");
}
