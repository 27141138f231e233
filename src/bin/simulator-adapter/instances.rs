//! The running instances: each is the gateway of one simulated process.

use crate::error::{FieldProblem, RecordError};
use crate::wire::{Batch, InstanceId, Record, RecordContent, Reply};
use ingress::{Action, Event, Gateway, Instant, LoadReportField, SettingsError, SettingsReader};
use std::collections::BTreeMap;

/// A running instance.
struct Instance {
    /// The instance's decisions.
    gateway: Gateway,
    /// The values in a load report, in the order of the wire.
    report_fields: Vec<LoadReportField>,
}

impl Instance {
    /// Starts an instance with the settings that the simulator gives as text.
    fn start(settings: &str, seed: u64, now: Instant) -> Result<Instance, SettingsError> {
        let reader = SettingsReader::from_lines(settings)?;
        let (settings, report_fields) = (reader.settings()?, reader.load_report_fields()?);
        Ok(Instance { gateway: Gateway::new(settings, seed, now), report_fields })
    }
}

/// All running instances by their numbers on the wire.
#[derive(Default)]
pub struct Instances {
    /// Instances that were started and not stopped.
    running: BTreeMap<InstanceId, Instance>,
    /// A reused buffer for the actions of one event.
    actions: Vec<Action>,
}

impl Instances {
    /// Passes the records of a batch to their instances in order, and returns the frame of the reply.
    pub fn handle_batch(&mut self, batch: &Batch) -> Result<Vec<u8>, RecordError> {
        let mut reply = Reply::new(batch.number);
        for record in batch.records() {
            self.handle_record(&record, batch.clock, &mut reply)?;
        }
        Ok(reply.finish())
    }

    /// Starts or stops an instance, or passes an event to it.
    fn handle_record(&mut self, record: &Record, now: Instant, reply: &mut Reply) -> Result<(), RecordError> {
        let id = record.instance();
        let report_fields =
            self.running.get(&id).map_or(&[][..], |instance| instance.report_fields.as_slice());
        match record.decode(report_fields)? {
            RecordContent::Start { seed, settings } => {
                let instance = Instance::start(settings, seed, now)
                    .map_err(|error| record.error("conf", FieldProblem::Settings(error)))?;
                self.running.insert(id, instance);
            }
            RecordContent::Stop => {
                self.running.remove(&id);
            }
            RecordContent::Event(event) => self.handle_event(record, event, now, reply),
            RecordContent::Unknown => {}
        }
        Ok(())
    }

    /// Passes an event to its instance, and adds the instance's actions to the reply.
    fn handle_event(&mut self, record: &Record, event: Event, now: Instant, reply: &mut Reply) {
        let id = record.instance();
        match self.running.get_mut(&id) {
            Some(instance) => {
                self.actions.clear();
                instance.gateway.handle(now, event, &mut self.actions);
                reply.push(id, &self.actions);
            }
            None => eprintln!("{}", record.error("ingress", FieldProblem::InstanceNotRunning)),
        }
    }
}
