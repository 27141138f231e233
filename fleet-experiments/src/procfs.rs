//! Reads statistics of processes and the machine from `/proc` on Linux. Functions return 0, an empty text or
//! `None` for a value that cannot be read.

/// Size of a memory page, in bytes.
const PAGE_SIZE: u64 = 4096;
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of the processor time in user mode, among the fields of `/proc/PID/stat` after the command name in
/// parentheses.
const USER_TIME_FIELD: usize = 11;
/// Index of the processor time in kernel mode, among the same fields.
const SYSTEM_TIME_FIELD: usize = 12;

/// Memory of a process, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct ProcessMemory {
    /// Current resident memory.
    pub resident: u64,
    /// Peak resident memory.
    pub peak: u64,
}

/// Returns the contents of a file; empty if it cannot be read.
pub fn read(path: &str) -> String {
    std::fs::read_to_string(path).unwrap_or_default()
}

/// Returns the text after `key` and a colon, from lines such as `MemTotal: 5 kB`.
pub fn value<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let line = text.lines().find(|line| line.starts_with(key))?;
    Some(line.split(':').nth(1)?.trim())
}

/// Returns the size after `key` in lines such as `MemTotal: 5 kB`, converted to bytes.
pub fn bytes(text: &str, key: &str) -> u64 {
    let size = value(text, key).and_then(|value| value.split_whitespace().next());
    let kilobytes = size.and_then(|number| number.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

/// Returns the resident memory of this process, in bytes.
pub fn own_resident_memory() -> u64 {
    let text = read("/proc/self/statm");
    let pages = text.split(' ').nth(1).and_then(|number| number.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_SIZE
}

/// Returns the current and the peak resident memory of a process.
pub fn memory(process: u32) -> ProcessMemory {
    let status = read(&format!("/proc/{process}/status"));
    ProcessMemory { resident: bytes(&status, "VmRSS"), peak: bytes(&status, "VmHWM") }
}

/// Returns the processor time that a process has used in user and kernel mode, in seconds.
pub fn cpu_seconds(process: u32) -> f64 {
    let text = read(&format!("/proc/{process}/stat"));
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |field: usize| fields.get(field).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(USER_TIME_FIELD) + ticks(SYSTEM_TIME_FIELD)) / TICKS_PER_SECOND
}
