//! The running instances: each is a gateway that one process of the simulator stands for.

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
    /// Those that were started and not yet stopped.
    running: BTreeMap<InstanceId, Instance>,
    /// The actions for one event; kept to reuse its memory.
    actions: Vec<Action>,
}

impl Instances {
    /// Hands the records of a batch to their instances in order; returns the frame of the reply.
    pub fn handle_batch(&mut self, batch: &Batch) -> Result<Vec<u8>, RecordError> {
        let mut reply = Reply::new(batch.number);
        for record in batch.records() {
            self.handle_record(&record, batch.clock, &mut reply)?;
        }
        Ok(reply.finish())
    }

    /// Starts or stops an instance, or hands it an event.
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

    /// Hands an event to its instance, whose actions go into the reply.
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
