//! The stand-ins and ingresses of a run, and the injection of faults that are not system call faults.

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

/// Maximum number of ingresses in a run. Each has its own loopback address.
const MAX_INGRESSES: usize = 40;
/// Smallest second octet of the ingresses' addresses.
const FIRST_SECOND_OCTET: u32 = 20;
/// Number of values of the second octet.
const SECOND_OCTETS: u32 = 200;
/// Number of values of the third octet.
const THIRD_OCTETS: u32 = 250;
/// Port on which ingresses listen for clients.
const CLIENT_PORT: u16 = 7379;
/// Port on which ingresses receive messages from peers.
const PEER_PORT: u16 = 7946;
/// Time for which an ingress still receives new connections after SIGTERM.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(300);
/// Time for which a configuration stays truncated during a reload.
const TRUNCATED_CONFIG_DURATION: Duration = Duration::from_millis(120);
/// Duration of a pause. It is shorter than the 150 ms that the oracle allows, because an ingress may be
/// continued late.
const PAUSE_DURATION: Duration = Duration::from_millis(140);
/// Time for which an ingress runs between two pauses.
const PAUSE_INTERVAL: Duration = Duration::from_millis(400);

/// Addresses of the two discovery agents of an ingress.
#[derive(Clone, Copy)]
struct AgentAddresses {
    /// Agent in the initial configuration.
    initial: SocketAddr,
    /// Agent in the reloaded configuration.
    after_reload: SocketAddr,
}

/// The stand-ins and ingresses of a run.
pub struct Testbed {
    context: Arc<RunContext>,
    /// Addresses of the ingresses.
    addresses: Addresses,
    backends: Vec<Backend>,
    discovery: Arc<Discovery>,
    /// Discovery agents of each ingress.
    agents: Vec<AgentAddresses>,
    ingresses: Vec<Arc<Mutex<Ingress>>>,
    rotation: Arc<Rotation>,
}

/// Derives the addresses of `count` ingresses from the process id, so that concurrent soaks use different
/// ones.
fn derive_addresses(count: usize) -> Addresses {
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

/// Locks an ingress, even if another thread panicked while it held the lock.
fn lock(ingress: &Mutex<Ingress>) -> MutexGuard<'_, Ingress> {
    ingress.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Testbed {
    /// Starts the stand-ins and prepares the ingresses without starting them.
    ///
    /// # Errors
    ///
    /// Returns an error if the plan has too many ingresses, or a stand-in cannot bind a port.
    pub fn build(context: &Arc<RunContext>, programs: &Programs) -> anyhow::Result<Testbed> {
        let shape = context.plan.shape;
        if shape.ingresses > MAX_INGRESSES {
            bail!("the plan has {} ingresses; the maximum is {MAX_INGRESSES}", shape.ingresses);
        }
        let addresses = derive_addresses(shape.ingresses);
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

    /// Starts all ingresses in parallel, waits until they are ready and adds them to the rotation.
    ///
    /// # Errors
    ///
    /// Returns an error if a configuration cannot be written, or a program cannot be started.
    pub fn start_ingresses(&self) -> anyhow::Result<()> {
        let known_endpoints = self.discovery.snapshot_json();
        let mut threads = Vec::new();
        for (number, ingress) in self.ingresses.iter().enumerate() {
            lock(ingress).write_config(&self.addresses, self.agents[number].initial, &known_endpoints)?;
            let ingress = ingress.clone();
            threads.push(thread::spawn(move || lock(&ingress).start()));
        }
        for thread in threads {
            thread.join().map_err(|_| anyhow::anyhow!("a thread panicked while it started an ingress"))??;
        }
        for number in 0..self.ingresses.len() {
            self.rotation.set(number, true);
        }
        Ok(())
    }

    /// Starts the client threads, which send requests until the load ends.
    pub fn start_clients(&self) -> Vec<JoinHandle<()>> {
        let start = |number| {
            let addresses = self.addresses.listen.clone();
            let client = Client::new(number, self.context.clone(), addresses, self.rotation.clone());
            thread::spawn(move || client.run())
        };
        (0..self.context.plan.shape.clients).map(start).collect()
    }

    /// Starts a fault. Faults that take time continue in the returned thread.
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

    /// Ends a fault that requires an action to end.
    pub fn end(&self, fault: &InjectedFault) {
        if fault.kind == FaultScenario::DrainingBackend {
            let backend = fault.target % self.backends.len();
            self.discovery.publish(backend, EndpointStatus::Up, false);
        }
    }

    /// Terminates an ingress with SIGTERM and starts it again. It leaves the rotation only after
    /// [`DEREGISTRATION_DELAY`].
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

    /// Kills an ingress and starts it again.
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

    /// Makes an ingress reload a truncated configuration, and then a complete one with another discovery
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

    /// Pauses an ingress repeatedly until `until_ms`.
    fn pause(&self, number: usize, until_ms: u64) -> JoinHandle<()> {
        let ingress = self.ingresses[number].clone();
        let context = self.context.clone();
        thread::spawn(move || {
            while context.recorder.now_ms() < until_ms {
                lock(&ingress).pause(PAUSE_DURATION);
                thread::sleep(PAUSE_INTERVAL);
            }
        })
    }

    /// Records crashed ingresses. Skips those that are locked by a fault in progress, such as a restart.
    pub fn record_unexpected_exits(&self) {
        for ingress in &self.ingresses {
            if let Ok(mut ingress) = ingress.try_lock() {
                ingress.record_unexpected_exit();
            }
        }
    }

    /// Makes all ingresses log their counters.
    pub fn log_counters(&self) {
        for ingress in &self.ingresses {
            let mut ingress = lock(ingress);
            ingress.record_unexpected_exit();
            ingress.log_counters();
        }
    }

    /// Sends SIGTERM to all ingresses and waits until they have exited.
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
