//! One run: the stand-ins and the ingresses are started, the plan is carried out, and what was observed is returned.

use crate::counters;
use crate::ingress::{Ingress, Programs};
use crate::plan::{InjectedFault, SoakPlan};
use crate::record::{EndpointStatus, Observations, ProcessEvent, Recorder};
use crate::scenario::FaultScenario;
use crate::settings::Addresses;
use crate::stand_in::backend::Backend;
use crate::stand_in::client::{Client, Open};
use crate::stand_in::discovery::Discovery;
use anyhow::bail;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The most ingresses of a run.
const MAX_INGRESSES: usize = 40;
/// The port at which ingresses listen, each at an address of its own.
const CLIENT_PORT: u16 = 7379;
/// The port at which they get messages of peers.
const PEER_PORT: u16 = 7946;
/// How long new connections still come to an ingress after it was told to end.
const FRONT_DELAY: Duration = Duration::from_millis(300);
/// How long a configuration stays half written.
const HALF_WRITTEN_TIME: Duration = Duration::from_millis(120);
/// How long an ingress stands still.
const PAUSE: Duration = Duration::from_millis(140);
/// How long it runs between two pauses.
const PAUSE_INTERVAL: Duration = Duration::from_millis(400);
/// How long the supervisor sleeps between two looks at the plan.
const TICK: Duration = Duration::from_millis(5);
/// How long an ingress has to log its counters at the end.
const COUNTER_TIME: Duration = Duration::from_millis(50);
/// How long clients have at the most to end after a run.
const CLIENT_END_TIMEOUT: Duration = Duration::from_secs(10);

/// What takes part in a run.
struct Stage {
    /// What goes wrong.
    plan: Arc<SoakPlan>,
    /// What was observed.
    recorder: Arc<Recorder>,
    /// Where the ingresses are.
    addresses: Addresses,
    /// The backends.
    backends: Vec<Backend>,
    /// Discovery.
    discovery: Arc<Discovery>,
    /// Two for each ingress: a reload goes from one to the other.
    agents: Vec<[SocketAddr; 2]>,
    /// The ingresses.
    ingresses: Vec<Arc<Mutex<Ingress>>>,
    /// Which of them get new connections.
    open: Open,
    /// This process was told to end.
    interrupted: Arc<AtomicBool>,
}

/// The addresses of so many ingresses, which no other process uses.
fn draw_addresses(count: usize) -> Addresses {
    let id = std::process::id();
    let address = |number: usize, port| {
        let ip = Ipv4Addr::new(127, 20 + (id % 200) as u8, (id / 200 % 250) as u8, number as u8 + 1);
        SocketAddr::from((ip, port))
    };
    Addresses {
        listen: (0..count).map(|number| address(number, CLIENT_PORT)).collect(),
        peers: (0..count).map(|number| address(number, PEER_PORT)).collect(),
    }
}

impl Stage {
    /// Starts the stand-ins; the ingresses do not run yet.
    fn build(
        plan: &Arc<SoakPlan>,
        programs: &Programs,
        recorder: &Arc<Recorder>,
        is_over: &Arc<AtomicBool>,
    ) -> anyhow::Result<Stage> {
        let count = plan.shape.ingresses;
        if count > MAX_INGRESSES {
            bail!("{count} ingresses are more than {MAX_INGRESSES}");
        }
        let addresses = draw_addresses(count);
        let backends = (0..plan.shape.backends)
            .map(|number| Backend::start(number, plan, recorder, is_over))
            .collect::<std::io::Result<Vec<_>>>()?;
        let backend_addresses: Vec<SocketAddr> = backends.iter().map(|backend| backend.address).collect();
        let discovery = Discovery::new(&backend_addresses, plan.clone(), recorder.clone(), is_over.clone());
        let discovery = Arc::new(discovery);
        let mut agents = Vec::new();
        for number in 0..count {
            agents.push([discovery.start_agent(number)?, discovery.start_agent(number)?]);
        }
        let ingresses = (0..count)
            .map(|number| {
                let ingress =
                    Ingress::new(number, programs.clone(), plan.clone(), recorder.clone(), &addresses);
                Arc::new(Mutex::new(ingress))
            })
            .collect();
        let open = Arc::new((0..count).map(|_| AtomicBool::new(false)).collect());
        let (plan, recorder) = (plan.clone(), recorder.clone());
        let interrupted = programs.interrupted.clone();
        Ok(Stage { plan, recorder, addresses, backends, discovery, agents, ingresses, open, interrupted })
    }

    /// Starts all ingresses, side by side.
    fn start_ingresses(&self) -> anyhow::Result<()> {
        let known = self.discovery.list_json();
        let mut starting = Vec::new();
        for (number, ingress) in self.ingresses.iter().enumerate() {
            lock(ingress).write_config(&self.addresses, self.agents[number][0], &known)?;
            let ingress = ingress.clone();
            starting.push(thread::spawn(move || lock(&ingress).start()));
        }
        for thread in starting {
            thread.join().map_err(|_| anyhow::anyhow!("an ingress could not be started"))??;
        }
        self.open.iter().for_each(|open| open.store(true, Ordering::SeqCst));
        Ok(())
    }

    /// Begins a fault. What takes a while goes on in a thread.
    fn begin(&self, fault: &InjectedFault) -> Option<JoinHandle<()>> {
        let backend = fault.target % self.backends.len();
        let number = fault.target % self.ingresses.len();
        match fault.kind {
            FaultScenario::DrainingBackend => {
                self.discovery.publish(backend, EndpointStatus::Draining, false)
            }
            FaultScenario::RestartedBackend => {
                self.backends[backend].restart();
                self.discovery.publish(backend, EndpointStatus::Up, true);
            }
            FaultScenario::Terminate => return Some(self.terminate(number)),
            FaultScenario::Kill => return Some(self.kill(number)),
            FaultScenario::Reload => return Some(self.reload(number)),
            FaultScenario::Pauses => return Some(self.pause(number, fault.until_ms)),
            _ => {}
        }
        None
    }

    /// Tells an ingress to end, and starts it again. The front notices a little later.
    fn terminate(&self, number: usize) -> JoinHandle<()> {
        let (ingress, open) = (self.ingresses[number].clone(), self.open.clone());
        thread::spawn(move || {
            let closing = open.clone();
            let front = thread::spawn(move || {
                thread::sleep(FRONT_DELAY);
                closing[number].store(false, Ordering::SeqCst);
            });
            let mut ingress = lock(&ingress);
            ingress.terminate();
            let _ = front.join();
            let _ = ingress.start();
            open[number].store(true, Ordering::SeqCst);
        })
    }

    /// Kills an ingress, and starts it again.
    fn kill(&self, number: usize) -> JoinHandle<()> {
        let (ingress, open) = (self.ingresses[number].clone(), self.open.clone());
        thread::spawn(move || {
            let mut ingress = lock(&ingress);
            open[number].store(false, Ordering::SeqCst);
            ingress.kill();
            let _ = ingress.start();
            open[number].store(true, Ordering::SeqCst);
        })
    }

    /// Has an ingress read its configuration again, first while half of it is written; it names another agent.
    fn reload(&self, number: usize) -> JoinHandle<()> {
        let (ingress, addresses) = (self.ingresses[number].clone(), self.addresses.clone());
        let (agent, known) = (self.agents[number][1], self.discovery.list_json());
        thread::spawn(move || {
            let ingress = lock(&ingress);
            let _ = ingress.write_half_a_config();
            ingress.reload();
            thread::sleep(HALF_WRITTEN_TIME);
            let _ = ingress.write_config(&addresses, agent, &known);
            ingress.reload();
        })
    }

    /// Has an ingress stand still, again and again until a time.
    fn pause(&self, number: usize, until_ms: u64) -> JoinHandle<()> {
        let (ingress, recorder) = (self.ingresses[number].clone(), self.recorder.clone());
        thread::spawn(move || {
            while recorder.now_ms() < until_ms {
                lock(&ingress).pause(PAUSE);
                thread::sleep(PAUSE_INTERVAL);
            }
        })
    }

    /// Ends a fault that does not end by itself.
    fn end(&self, fault: &InjectedFault) {
        if fault.kind == FaultScenario::DrainingBackend {
            self.discovery.publish(fault.target % self.backends.len(), EndpointStatus::Up, false);
        }
    }

    /// Executes the plan, to the end of the run.
    fn execute_plan(&self) {
        let mut begun: Vec<bool> = vec![false; self.plan.faults.len()];
        let mut ended = begun.clone();
        let mut threads = Vec::new();
        let end_ms = self.plan.shape.seconds * 1000;
        while self.recorder.now_ms() < end_ms && !self.interrupted.load(Ordering::SeqCst) {
            for (index, fault) in self.plan.faults.iter().enumerate() {
                let now = self.recorder.now_ms();
                if now >= fault.from_ms && !std::mem::replace(&mut begun[index], true) {
                    tracing::debug!(?fault, "begins");
                    threads.extend(self.begin(fault));
                }
                if now >= fault.until_ms && !std::mem::replace(&mut ended[index], true) {
                    self.end(fault);
                }
            }
            for ingress in &self.ingresses {
                if let Ok(mut ingress) = ingress.try_lock() {
                    ingress.check();
                }
            }
            thread::sleep(TICK);
        }
        threads.into_iter().for_each(|thread| _ = thread.join());
    }
}

/// An ingress, for whoever holds it.
fn lock(ingress: &Mutex<Ingress>) -> std::sync::MutexGuard<'_, Ingress> {
    ingress.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Measures, until the run is over, by how much longer than it asked for a thread sleeps, and waits for the record that
/// all threads share: whoever holds that may be held up itself.
fn watch_for_stalls(recorder: Arc<Recorder>, is_over: Arc<AtomicBool>) {
    while !is_over.load(Ordering::SeqCst) {
        let before = recorder.now();
        thread::sleep(TICK);
        let mut observations = recorder.observations();
        let stall = (recorder.now() - before).saturating_sub(TICK.as_micros() as u64);
        observations.longest_stall = observations.longest_stall.max(stall);
    }
}

/// Starts the clients, which send until `is_ended`.
fn start_clients(stage: &Stage, is_ended: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
    let client = |number| {
        let client = Client::new(
            number,
            stage.plan.clone(),
            stage.recorder.clone(),
            is_ended.clone(),
            stage.addresses.listen.clone(),
            stage.open.clone(),
        );
        thread::spawn(move || client.run())
    };
    (0..stage.plan.shape.clients).map(client).collect()
}

/// Waits until all clients have ended, or for as long as that may take.
fn await_clients(clients: &[JoinHandle<()>]) {
    let deadline = Instant::now() + CLIENT_END_TIMEOUT;
    while clients.iter().any(|client| !client.is_finished()) && Instant::now() < deadline {
        thread::sleep(TICK);
    }
}

/// Tells all ingresses to end, side by side, and waits for that.
fn terminate_all(ingresses: &[Arc<Mutex<Ingress>>]) {
    let terminate = |ingress: &Arc<Mutex<Ingress>>| {
        let ingress = ingress.clone();
        thread::spawn(move || lock(&ingress).terminate())
    };
    let threads: Vec<JoinHandle<()>> = ingresses.iter().map(terminate).collect();
    threads.into_iter().for_each(|thread| _ = thread.join());
}

/// Plays a plan, and returns what was observed.
pub fn play(plan: &SoakPlan, programs: &Programs) -> anyhow::Result<Observations> {
    std::fs::create_dir_all(&programs.folder)?;
    for number in 0..plan.shape.ingresses {
        let _ = std::fs::remove_file(Ingress::log_file(&programs.folder, number));
    }
    let (plan, recorder) = (Arc::new(plan.clone()), Arc::new(Recorder::default()));
    let (is_over, is_ended) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let stage = Stage::build(&plan, programs, &recorder, &is_over)?;
    stage.start_ingresses()?;
    let (watching, watched_until) = (recorder.clone(), is_over.clone());
    let watchdog = thread::spawn(move || watch_for_stalls(watching, watched_until));
    let clients = start_clients(&stage, &is_ended);
    stage.execute_plan();
    is_ended.store(true, Ordering::SeqCst);
    await_clients(&clients);
    for ingress in &stage.ingresses {
        let mut ingress = lock(ingress);
        ingress.check();
        ingress.log_counters();
    }
    thread::sleep(COUNTER_TIME);
    is_over.store(true, Ordering::SeqCst);
    let _ = watchdog.join();
    terminate_all(&stage.ingresses);
    let mut observations = std::mem::take(&mut *recorder.observations());
    read_counters(&mut observations, programs, plan.shape.ingresses);
    Ok(observations)
}

/// Takes in what the ingresses that ran from the begin to the end have counted.
fn read_counters(observations: &mut Observations, programs: &Programs, ingresses: usize) {
    for number in 0..ingresses {
        let events = observations.processes.iter().filter(|record| record.ingress == number);
        let starts = events.filter(|record| record.event == ProcessEvent::Started).count();
        let log = std::fs::read_to_string(Ingress::log_file(&programs.folder, number)).unwrap_or_default();
        observations.counters.extend(counters::parse(number, &log).filter(|_| starts == 1));
    }
}
