//! Tests of [`super`].

use super::*;
use std::io::Read;

const CONFIG: &str = r#"{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"7",
"limits":{"cores":1.0,"memory_mb":64,"sockets":256},"known":{"index":1,"snapshot":true,"endpoints":[]},
"settings":{"n_instances":1,"slot_no":0,"zone":0,"tick_us":4000,"zones":["a"],"skus":["m"],
"grades":[{"name":"quote","effect":"repeatable","group":"all","window_us":0,"objective_us":400000,
 "give_up_us":1000000,"worth":1.0,"late_worth":0.0,"stream":false}],
"contracts":[{"name":"starter","quota_rate":1.5,"burst":7.0,"max_out":0,"never_over_rate":0.0,"ceiling_burst":0.0,
 "ceiling_slack":0.0,"worth_factor":1.0,"over_worth":0.0,"beyond_costs":1.0}],
"limits":{"most_tries":3,"second_copies":true,"cancelling":true,"may_probe":false,"peers":false,"retry_after":true,
 "max_retry_after_us":2000000,"max_open":20000,"connect_timeout_us":250000,"keepalive_us":15000000},
"family_info":{"peer_in_per_s":40.0,"has_counter":false,"meter_period_us":0,"post_paid":false},
"rules":{"answer_slack_us":16000,"drain_grace_us":250000,"cold_from":0.28,"cold_us":16000000,
 "overload_factor":4.0,"fall_us":1000000,"must_ask_in_us":10000000},
"membership_mode":"push","weights":"none","reporting":{"how":"none","fields":[]}}}"#;

/// An ingress in this process, whose turns the test takes.
fn ingress(name: &str) -> (Ingress, std::net::TcpStream) {
    let file = std::env::temp_dir().join(format!("wrenfork-{name}-{}.json", std::process::id()));
    std::fs::write(&file, CONFIG).unwrap();
    let path = file.to_str().unwrap().to_string();
    let probe = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = probe.local_addr().unwrap();
    drop(probe);
    let var = |name: &str| (name == "LB_LISTEN").then(|| at.to_string());
    let config = Config::read(&path, var).unwrap();
    let ingress = Ingress::start(config, Reload::new(path), signals().unwrap()).unwrap();
    std::fs::remove_file(&file).unwrap();
    let client = std::net::TcpStream::connect(at).unwrap();
    client.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    (ingress, client)
}

/// Guards against an end with something unread: what came behind the last look at a connection was taken, and with
/// the connection it would be reset.
#[test]
fn what_was_said_just_before_the_end_is_answered_first() {
    let (mut ingress, mut client) = ingress("end");
    while ingress.clients.len() == 0 {
        ingress.accept();
    }
    // Told to stop long ago, and all is answered; half a command of this one has come.
    client.write_all(b"*1\r\n$4\r\nPI").unwrap();
    while ingress.clients.idle() > 0 {
        ingress.clients.read_all(ingress.now);
    }
    (ingress.stopping, ingress.closing_since) = (true, Some(ingress.now - LAST_READ - 1));
    client.write_all(b"NG\r\n").unwrap();
    ingress.may_exit();
    let mut answer = [0; 7];
    client.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    client.read_exact(&mut answer).expect("an answer before the end");
    assert_eq!(&answer, b"+PONG\r\n");
}

/// Guards against a port that is closed with clients in its line, who have asked and were taken by the kernel: with
/// the port they are reset. More wait than are accepted in a turn.
#[test]
fn those_in_the_line_when_the_port_closes_are_answered() {
    let (mut ingress, first) = ingress("line");
    let at = first.peer_addr().unwrap();
    let mut clients: Vec<_> = (0..100).map(|_| std::net::TcpStream::connect(at).unwrap()).collect();
    clients.iter_mut().for_each(|c| c.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap());
    // Told to stop; the time of accepting has run out by the next turn.
    (ingress.stopping, ingress.last_at) = (true, ingress.now + STILL_ACCEPTING);
    ingress.timers.push(Reverse((ingress.now, Due::Close)));
    while ingress.closing_since.is_none() {
        ingress.now += LOOK_AGAIN;
        ingress.turn(&mut []);
    }
    ingress.clients.read_all(ingress.now);
    ingress.clients.flush(ingress.now);
    for (n, client) in clients.iter_mut().enumerate() {
        let mut answer = [0; 7];
        client.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        client.read_exact(&mut answer).unwrap_or_else(|e| panic!("client {n}: {e}"));
        assert_eq!(&answer, b"+PONG\r\n");
    }
}

/// Guards against a request that is taken up when its time until the end is over already.
#[test]
fn what_comes_when_no_time_is_left_is_refused_at_once() {
    let (mut ingress, mut client) = ingress("late");
    while ingress.clients.len() == 0 {
        ingress.accept();
    }
    (ingress.stopping, ingress.closing_since, ingress.last_at) = (true, Some(ingress.now), ingress.now);
    let options = "c=quote,t=starter,d=900,units=1,spread=1,first=0";
    let mut call = Vec::new();
    resp::put_array(&mut call, 4);
    for word in ["CALL.GET", "0000000000000001", "q1", options] {
        resp::put_bulk(&mut call, &[word.as_bytes()]);
    }
    client.write_all(&call).unwrap();
    ingress.may_exit();
    let mut answer = [0; 7];
    client.read_exact(&mut answer).unwrap();
    assert_eq!((&answer, ingress.requests.len()), (b"-BUSY\r\n", 0));
}
