//! The running instances, each with the gateway of one simulated process.

use crate::error::{FieldProblem, RecordError};
use crate::wire::{Batch, InstanceId, Record, RecordContent, Reply};
use ingress::{Action, Event, Gateway, Instant, LoadReportField, SettingsError, SettingsReader};
use std::collections::BTreeMap;

/// A running instance with its gateway and the layout of its load reports.
struct Instance {
    gateway: Gateway,
    /// Fields of a load report, in the order of the wire.
    report_fields: Vec<LoadReportField>,
}

impl Instance {
    /// Starts an instance with settings in lines of the form `path=value`.
    fn start(settings: &str, seed: u64, now: Instant) -> Result<Instance, SettingsError> {
        let reader = SettingsReader::from_lines(settings)?;
        let (settings, report_fields) = (reader.settings()?, reader.load_report_fields()?);
        Ok(Instance { gateway: Gateway::new(settings, seed, now), report_fields })
    }
}

/// All running instances, by their number on the wire.
#[derive(Default)]
pub struct Instances {
    running: BTreeMap<InstanceId, Instance>,
    /// Buffer for the actions of one event, reused between events.
    actions: Vec<Action>,
}

impl Instances {
    /// Handles the records of a batch in order, and returns the frame of the reply.
    pub fn handle_batch(&mut self, batch: &Batch) -> Result<Vec<u8>, RecordError> {
        let mut reply = Reply::new(batch.number);
        for record in batch.records() {
            self.handle_record(&record, batch.clock, &mut reply)?;
        }
        Ok(reply.finish())
    }

    /// Starts or stops the instance of a record, or passes an event to it. Unknown records are ignored.
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

    /// Passes an event to its instance and adds the actions to the reply. An event for an instance that is
    /// not running is reported on standard error and ignored.
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
