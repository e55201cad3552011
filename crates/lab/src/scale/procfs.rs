//! Resource usage of processes, read from `/proc`.

use rustix::param::clock_ticks_per_second;
use std::fs;
use std::io;
use std::time::Duration;

/// The resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessSample {
    /// Processor time since the process started, user and system.
    pub processor: Duration,
    /// Proportional set size: shared pages are divided among the processes that share them.
    pub pss_kib: u64,
    /// Resident set size: shared pages count in full.
    pub rss_kib: u64,
    /// Open file descriptors.
    pub descriptors: u64,
}

/// Samples a running process.
pub fn sample(process: u32) -> io::Result<ProcessSample> {
    let rollup = fs::read_to_string(format!("/proc/{process}/smaps_rollup"))?;
    let descriptors = fs::read_dir(format!("/proc/{process}/fd"))?.count() as u64;
    let memory = |name| field_kib(&rollup, name).ok_or_else(|| unexpected_format("smaps_rollup"));
    let (pss_kib, rss_kib) = (memory("Pss:")?, memory("Rss:")?);
    Ok(ProcessSample { processor: processor_time(process)?, pss_kib, rss_kib, descriptors })
}

/// The processor time of a process since its start. `stat` counts whole ticks of all threads,
/// `schedstat` counts nanoseconds of the live threads. Neither exceeds what was used, so the
/// greater value is the better one.
pub fn processor_time(process: u32) -> io::Result<Duration> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
    let ticks = processor_ticks(&stat).ok_or_else(|| unexpected_format("stat"))?;
    let from_ticks = Duration::from_secs_f64(ticks as f64 / clock_ticks_per_second() as f64);
    Ok(from_ticks.max(live_threads_time(process)?))
}

/// The processor time of the live threads; zero where the system does not provide it.
fn live_threads_time(process: u32) -> io::Result<Duration> {
    let mut sum = Duration::ZERO;
    for thread in fs::read_dir(format!("/proc/{process}/task"))?.flatten() {
        let text = fs::read_to_string(thread.path().join("schedstat")).unwrap_or_default();
        sum += scheduled_time(&text).unwrap_or_default();
    }
    Ok(sum)
}

/// Parses the processor time from the text of `/proc/PID/task/TID/schedstat`.
pub fn scheduled_time(schedstat: &str) -> Option<Duration> {
    schedstat.split_whitespace().next()?.parse().ok().map(Duration::from_nanos)
}

/// The machine's memory in KiB.
pub fn total_memory_kib() -> io::Result<u64> {
    let text = fs::read_to_string("/proc/meminfo")?;
    field_kib(&text, "MemTotal:").ok_or_else(|| unexpected_format("meminfo"))
}

/// The load average of the last minute.
pub fn load_average() -> io::Result<f64> {
    let text = fs::read_to_string("/proc/loadavg")?;
    let first = text.split_whitespace().next().and_then(|field| field.parse().ok());
    first.ok_or_else(|| unexpected_format("loadavg"))
}

/// Parses the clock ticks in user and system mode from the text of `/proc/PID/stat`, where the
/// process name may contain any character.
pub fn processor_ticks(stat: &str) -> Option<u64> {
    /// `utime` is the 14th field; the first one after the name is the 3rd. `stime` follows it.
    const USER_TIME: usize = 14 - 3;
    let (_, after_name) = stat.rsplit_once(')')?;
    let mut fields = after_name.split_whitespace().skip(USER_TIME);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    user.checked_add(system)
}

/// The value of a line such as `Pss:  174 kB`.
pub fn field_kib(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    let mut fields = line.split_whitespace();
    let value = fields.next()?.parse().ok()?;
    (fields.next() == Some("kB")).then_some(value)
}

fn unexpected_format(file: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("unexpected format of the /proc file {file}"))
}
