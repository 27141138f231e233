//! Tests of the end of a graceful shutdown.

use super::*;

/// The rest of a command arrives between the last read and the exit of the process. The kernel has accepted
/// these bytes: without another read, the exit would reset the connection and lose the command.
#[test]
fn commands_received_just_before_the_exit_are_answered() {
    let (mut event_loop, mut client) = start("end", CONFIG);
    while event_loop.clients.len() == 0 {
        event_loop.accept();
    }
    // The shutdown began long ago and all requests are answered; half a command of this client has arrived.
    client.write_all(b"*1\r\n$4\r\nPI").unwrap();
    while event_loop.clients.idle_count() > 0 {
        event_loop.clients.read_all(event_loop.now);
    }
    let since = event_loop.now - MAX_DRAINING_TIME - Duration::MICROSECOND;
    event_loop.shutdown.phase = Phase::Draining { reply_deadline: Instant::FAR_FUTURE, since };
    client.write_all(b"NG\r\n").unwrap();
    event_loop.drain_and_check_finished();
    let mut reply = [0; 7];
    client.set_read_timeout(Some(std::time::Duration::from_millis(200))).unwrap();
    client.read_exact(&mut reply).expect("a reply before the exit");
    assert_eq!(&reply, b"+PONG\r\n");
}

/// The last reply is written just before the exit, and its client has sent a part of a further command. If the
/// process exited at once, the rest of that command would reset the connection, and the reply could be lost. The
/// exit waits until the client had time to read, and no longer.
#[test]
fn the_exit_waits_until_the_last_reply_can_have_arrived() {
    let (mut event_loop, mut client) = start("transit", CONFIG);
    while event_loop.clients.len() == 0 {
        event_loop.accept();
    }
    client.write_all(&[PING, &PING[..5]].concat()).unwrap();
    while event_loop.clients.busy_count() == 0 {
        event_loop.clients.read_all(event_loop.now);
    }
    event_loop.clients.flush(event_loop.now);
    let since = event_loop.now - MAX_DRAINING_TIME - Duration::MICROSECOND;
    event_loop.shutdown.phase = Phase::Draining { reply_deadline: event_loop.now, since };
    assert!(!event_loop.drain_and_check_finished(), "the reply is in transit");
    client.write_all(&PING[5..]).unwrap();
    assert!(!event_loop.drain_and_check_finished(), "the rest of the command is not read");
    let mut reply = Vec::new();
    client.read_to_end(&mut reply).expect("the end of the connection, without a reset");
    assert_eq!(reply, b"+PONG\r\n");
    event_loop.now += LINGER_TIMEOUT;
    assert!(event_loop.drain_and_check_finished(), "the client had its time");
}

/// During a shutdown, 100 clients are waiting to be accepted, more than one batch. Their connections are
/// established and their commands sent, and closing the listener would reset them: they have to be accepted
/// and answered first.
#[test]
fn clients_queued_when_the_listener_closes_are_answered() {
    let (mut event_loop, first) = start("line", CONFIG);
    let address = first.peer_addr().unwrap();
    let mut clients: Vec<_> = (0..100).map(|_| TcpStream::connect(address).unwrap()).collect();
    for client in &mut clients {
        client.write_all(PING).unwrap();
    }
    // The shutdown has begun; the time for accepting is over at the next iteration.
    event_loop.shutdown.phase = Phase::Accepting { reply_deadline: event_loop.now + MIN_ACCEPTING_TIME };
    event_loop.timers.schedule(event_loop.now, Timer::CheckAccepting);
    while !event_loop.shutdown.is_draining() {
        event_loop.now += ACCEPTING_CHECK_INTERVAL;
        event_loop.process_ready(&mut []);
    }
    event_loop.clients.read_all(event_loop.now);
    event_loop.clients.flush(event_loop.now);
    for (index, client) in clients.iter_mut().enumerate() {
        let mut reply = [0; 7];
        client.set_read_timeout(Some(std::time::Duration::from_secs(10))).unwrap();
        client.read_exact(&mut reply).unwrap_or_else(|error| panic!("client {index}: {error}"));
        assert_eq!(&reply, b"+PONG\r\n");
    }
}

/// A request arrives after the reply deadline of the shutdown. It is rejected at once, so that the client can
/// try another ingress; an opened request would be lost when the process exits.
#[test]
fn requests_after_the_reply_deadline_are_rejected_at_once() {
    let (mut event_loop, mut client) = start("late", CONFIG);
    while event_loop.clients.len() == 0 {
        event_loop.accept();
    }
    event_loop.shutdown.phase = Phase::Draining { reply_deadline: event_loop.now, since: event_loop.now };
    client.write_all(&request_command(1)).unwrap();
    event_loop.drain_and_check_finished();
    let mut reply = [0; 7];
    client.read_exact(&mut reply).unwrap();
    assert_eq!((&reply, event_loop.requests.len()), (b"-BUSY\r\n", 0));
}
