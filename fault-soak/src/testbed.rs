//! The stand-ins and the ingresses of a run, and what faults do to them.

use crate::context::RunContext;
use crate::ingress::{Ingress, Programs};
use crate::plan::InjectedFault;
use crate::record::EndpointStatus;
use crate::rotation::Rotation;
use crate::scenario::FaultScenario;
use crate::settings::Addresses;
use crate::stand_in::backend::Backend;
use crate::stand_in::client::Client;
use crate::stand_in::discovery::Discovery;
use anyhow::bail;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The most ingresses of a run: each has a loopback address of its own.
const MAX_INGRESSES: usize = 40;
/// The least second octet of the ingresses' addresses.
const FIRST_SECOND_OCTET: u32 = 20;
/// How many values of the second octet are used.
const SECOND_OCTETS: u32 = 200;
/// How many values of the third octet are used.
const THIRD_OCTETS: u32 = 250;
/// The port at which ingresses listen for clients.
const CLIENT_PORT: u16 = 7379;
/// The port at which ingresses receive messages of their peers.
const PEER_PORT: u16 = 7946;
/// How long an ingress still gets new connections after SIGTERM.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(300);
/// How long a configuration stays half written.
const TRUNCATED_CONFIG_DURATION: Duration = Duration::from_millis(120);
/// How long an ingress is stopped: less than the 150 ms that the oracle allows for, since it may be continued
/// late.
const PAUSE: Duration = Duration::from_millis(140);
/// How long it runs between two pauses.
const PAUSE_INTERVAL: Duration = Duration::from_millis(400);

/// The addresses of discovery for one ingress.
#[derive(Clone, Copy)]
struct AgentAddresses {
    /// The one that the ingress starts with.
    initial: SocketAddr,
    /// The one that a reload names.
    after_reload: SocketAddr,
}

/// All that takes part in a run.
pub struct Testbed {
    /// What all of it shares.
    context: Arc<RunContext>,
    /// Where the ingresses are.
    addresses: Addresses,
    /// The backends.
    backends: Vec<Backend>,
    /// Discovery.
    discovery: Arc<Discovery>,
    /// The agents of each ingress.
    agents: Vec<AgentAddresses>,
    /// The ingresses.
    ingresses: Vec<Arc<Mutex<Ingress>>>,
    /// Which ingresses get new connections.
    rotation: Arc<Rotation>,
}

/// The addresses of so many ingresses. They depend on the process, so that soaks side by side have different
/// ones.
fn draw_addresses(count: usize) -> Addresses {
    let process = std::process::id();
    let second = FIRST_SECOND_OCTET + process % SECOND_OCTETS;
    let third = process / SECOND_OCTETS % THIRD_OCTETS;
    let address = |number: usize, port: u16| {
        let ip = Ipv4Addr::new(127, second as u8, third as u8, number as u8 + 1);
        SocketAddr::from((ip, port))
    };
    Addresses {
        listen: (0..count).map(|number| address(number, CLIENT_PORT)).collect(),
        peers: (0..count).map(|number| address(number, PEER_PORT)).collect(),
    }
}

/// An ingress, for one thread at a time.
fn lock(ingress: &Mutex<Ingress>) -> MutexGuard<'_, Ingress> {
    ingress.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Testbed {
    /// Starts the stand-ins; the ingresses do not run yet.
    ///
    /// # Errors
    ///
    /// If the plan has too many ingresses, or a stand-in cannot bind a port.
    pub fn build(context: &Arc<RunContext>, programs: &Programs) -> anyhow::Result<Testbed> {
        let shape = context.plan.shape;
        if shape.ingresses > MAX_INGRESSES {
            bail!("{} ingresses are more than {MAX_INGRESSES}", shape.ingresses);
        }
        let addresses = draw_addresses(shape.ingresses);
        let backends = (0..shape.backends).map(|number| Backend::start(number, context));
        let backends = backends.collect::<std::io::Result<Vec<_>>>()?;
        let backend_addresses: Vec<SocketAddr> = backends.iter().map(|backend| backend.address).collect();
        let discovery = Arc::new(Discovery::new(&backend_addresses, context.clone()));
        let mut agents = Vec::new();
        for number in 0..shape.ingresses {
            let initial = discovery.start_agent(number)?;
            agents.push(AgentAddresses { initial, after_reload: discovery.start_agent(number)? });
        }
        let ingress =
            |number: usize| Ingress::new(number, programs.clone(), context.clone(), addresses.listen[number]);
        let ingresses = (0..shape.ingresses).map(|number| Arc::new(Mutex::new(ingress(number)))).collect();
        let rotation = Arc::new(Rotation::new(shape.ingresses));
        let context = context.clone();
        Ok(Testbed { context, addresses, backends, discovery, agents, ingresses, rotation })
    }

    /// Starts all ingresses side by side, and waits until they are ready.
    ///
    /// # Errors
    ///
    /// If a configuration cannot be written, or a program cannot be started.
    pub fn start_ingresses(&self) -> anyhow::Result<()> {
        let known_endpoints = self.discovery.snapshot_json();
        let mut threads = Vec::new();
        for (number, ingress) in self.ingresses.iter().enumerate() {
            lock(ingress).write_config(&self.addresses, self.agents[number].initial, &known_endpoints)?;
            let ingress = ingress.clone();
            threads.push(thread::spawn(move || lock(&ingress).start()));
        }
        for thread in threads {
            thread.join().map_err(|_| anyhow::anyhow!("an ingress could not be started"))??;
        }
        for number in 0..self.ingresses.len() {
            self.rotation.set(number, true);
        }
        Ok(())
    }

    /// Starts the clients, which send requests until the load ends.
    pub fn start_clients(&self) -> Vec<JoinHandle<()>> {
        let start = |number| {
            let addresses = self.addresses.listen.clone();
            let client = Client::new(number, self.context.clone(), addresses, self.rotation.clone());
            thread::spawn(move || client.run())
        };
        (0..self.context.plan.shape.clients).map(start).collect()
    }

    /// Begins a fault. What takes a while goes on in a thread.
    pub fn begin(&self, fault: &InjectedFault) -> Option<JoinHandle<()>> {
        let backend = fault.target % self.backends.len();
        let ingress = fault.target % self.ingresses.len();
        match fault.kind {
            FaultScenario::DrainingBackend => {
                self.discovery.publish(backend, EndpointStatus::Draining, false);
                None
            }
            FaultScenario::RestartedBackend => {
                self.backends[backend].restart();
                self.discovery.publish(backend, EndpointStatus::Up, true);
                None
            }
            FaultScenario::Terminate => Some(self.terminate(ingress)),
            FaultScenario::Kill => Some(self.kill(ingress)),
            FaultScenario::Reload => Some(self.reload(ingress)),
            FaultScenario::Pauses => Some(self.pause(ingress, fault.until_ms)),
            _ => None,
        }
    }

    /// Ends a fault that does not end by itself.
    pub fn end(&self, fault: &InjectedFault) {
        if fault.kind == FaultScenario::DrainingBackend {
            let backend = fault.target % self.backends.len();
            self.discovery.publish(backend, EndpointStatus::Up, false);
        }
    }

    /// Sends an ingress SIGTERM, and starts it again. It leaves the rotation a little later.
    fn terminate(&self, number: usize) -> JoinHandle<()> {
        let ingress = self.ingresses[number].clone();
        let rotation = self.rotation.clone();
        thread::spawn(move || {
            let deregistered = rotation.clone();
            let deregistration = thread::spawn(move || {
                thread::sleep(DEREGISTRATION_DELAY);
                deregistered.set(number, false);
            });
            let mut ingress = lock(&ingress);
            ingress.terminate();
            let _ = deregistration.join();
            let _ = ingress.start();
            rotation.set(number, true);
        })
    }

    /// Kills an ingress, and starts it again.
    fn kill(&self, number: usize) -> JoinHandle<()> {
        let ingress = self.ingresses[number].clone();
        let rotation = self.rotation.clone();
        thread::spawn(move || {
            let mut ingress = lock(&ingress);
            rotation.set(number, false);
            ingress.kill();
            let _ = ingress.start();
            rotation.set(number, true);
        })
    }

    /// Has an ingress reload a configuration that is half written, and then a complete one that names another
    /// agent.
    fn reload(&self, number: usize) -> JoinHandle<()> {
        let ingress = self.ingresses[number].clone();
        let addresses = self.addresses.clone();
        let agent = self.agents[number].after_reload;
        let known_endpoints = self.discovery.snapshot_json();
        thread::spawn(move || {
            let ingress = lock(&ingress);
            let _ = ingress.write_truncated_config();
            ingress.reload();
            thread::sleep(TRUNCATED_CONFIG_DURATION);
            let _ = ingress.write_config(&addresses, agent, &known_endpoints);
            ingress.reload();
        })
    }

    /// Stops an ingress for a moment, again and again until a time.
    fn pause(&self, number: usize, until_ms: u64) -> JoinHandle<()> {
        let ingress = self.ingresses[number].clone();
        let context = self.context.clone();
        thread::spawn(move || {
            while context.recorder.now_ms() < until_ms {
                lock(&ingress).pause(PAUSE);
                thread::sleep(PAUSE_INTERVAL);
            }
        })
    }

    /// Records the ingresses that have exited by themselves, except for those that a fault is busy with.
    pub fn record_unexpected_exits(&self) {
        for ingress in &self.ingresses {
            if let Ok(mut ingress) = ingress.try_lock() {
                ingress.record_unexpected_exit();
            }
        }
    }

    /// Has all ingresses log their counters.
    pub fn log_counters(&self) {
        for ingress in &self.ingresses {
            let mut ingress = lock(ingress);
            ingress.record_unexpected_exit();
            ingress.log_counters();
        }
    }

    /// Sends all ingresses SIGTERM, and waits until they have exited.
    pub fn terminate_ingresses(&self) {
        let terminate = |ingress: &Arc<Mutex<Ingress>>| {
            let ingress = ingress.clone();
            thread::spawn(move || lock(&ingress).terminate())
        };
        let threads: Vec<JoinHandle<()>> = self.ingresses.iter().map(terminate).collect();
        for thread in threads {
            _ = thread.join();
        }
    }
}
