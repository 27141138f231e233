//! What an ingress says that it has counted: the lines of its log that SIGUSR1 asks for.

use crate::record::CounterRecord;

/// The fields of the latest line of counters with a title.
struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    /// Finds the line in a log.
    fn find(log: &'a str, title: &str) -> Option<Fields<'a>> {
        let line = log.lines().rev().find_map(|line| line.split_once(&format!("counters: {title}, ")))?.1;
        Some(Fields(line.split_whitespace().filter_map(|field| field.split_once('=')).collect()))
    }

    /// The number of a field.
    fn number(&self, name: &str) -> Option<u64> {
        self.0.iter().find(|(field, _)| *field == name)?.1.parse().ok()
    }
}

/// What the log of an ingress says; none if it has not been asked, or could not write.
pub fn parse(ingress: usize, log: &str) -> Option<CounterRecord> {
    let requests = Fields::find(log, "requests")?;
    let attempts = Fields::find(log, "attempts")?;
    Some(CounterRecord {
        ingress,
        requests: requests.number("requests")?,
        answers: requests.number("answers")?,
        not_served: requests.number("rejections")? + requests.number("failures")?,
        attempts_begun: attempts.number("begun")?,
    })
}
