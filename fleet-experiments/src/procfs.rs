//! What Linux reports in `/proc` on processes and the machine. A value that cannot be read is 0 or unknown.

/// Bytes of a page.
const PAGE_SIZE: u64 = 4096;
/// Processor time is counted in this many ticks a second.
const TICKS_PER_SECOND: f64 = 100.0;
/// The field of `/proc/PID/stat` after the name in parentheses that has the processor time in user mode.
const USER_TIME_FIELD: usize = 11;
/// The field that has the processor time in the kernel.
const SYSTEM_TIME_FIELD: usize = 12;

/// Memory of a process, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct ProcessMemory {
    /// Resident now.
    pub resident: u64,
    /// The most that was resident.
    pub peak: u64,
}

/// The text of a file; empty if it cannot be read.
pub fn read(path: &str) -> String {
    std::fs::read_to_string(path).unwrap_or_default()
}

/// What follows `key` and a colon in lines such as `MemTotal: 5 kB`.
pub fn value<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let line = text.lines().find(|line| line.starts_with(key))?;
    Some(line.split(':').nth(1)?.trim())
}

/// A size in such lines, in bytes.
pub fn bytes(text: &str, key: &str) -> u64 {
    let size = value(text, key).and_then(|value| value.split_whitespace().next());
    let kilobytes = size.and_then(|number| number.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

/// Resident memory of this process, in bytes.
pub fn own_resident_memory() -> u64 {
    let text = read("/proc/self/statm");
    let pages = text.split(' ').nth(1).and_then(|number| number.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_SIZE
}

/// Memory of a process.
pub fn memory(process: u32) -> ProcessMemory {
    let status = read(&format!("/proc/{process}/status"));
    ProcessMemory { resident: bytes(&status, "VmRSS"), peak: bytes(&status, "VmHWM") }
}

/// Processor time that a process has used, in seconds.
pub fn cpu_seconds(process: u32) -> f64 {
    let text = read(&format!("/proc/{process}/stat"));
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |field: usize| fields.get(field).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(USER_TIME_FIELD) + ticks(SYSTEM_TIME_FIELD)) / TICKS_PER_SECOND
}
