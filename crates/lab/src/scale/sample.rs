//! Samples of all processes at one moment, and the figures for the time between two samples.

pub use super::host::link::LinkTraffic;
use super::layout::{DISCOVERIES, Layout};
use super::procfs::ProcessSample;
pub use super::real::OperatorTraffic;
use crate::live::discovery::{Answers, Traffic};
use serde::Serialize;
use std::fmt;
use std::time::Instant;

/// A role that has a cost of control.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// A real process of the program; the mean over all of them.
    Sidecar,
    /// The process of all hollow sidecars.
    HollowHost,
    /// A discovery stand-in; the mean over all of them.
    Discovery,
    /// The process of the link between the regions.
    RegionLink,
}

impl Role {
    /// All roles.
    pub const ALL: [Role; 4] = [Role::Sidecar, Role::HollowHost, Role::Discovery, Role::RegionLink];
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Role::Sidecar => "sidecar",
            Role::HollowHost => "hollow-host",
            Role::Discovery => "discovery",
            Role::RegionLink => "region-link",
        })
    }
}

/// A figure of a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Figure {
    /// Processor time as a fraction of one core.
    ProcessorCores,
    /// Proportional set size at the end.
    PssKib,
    /// Resident set size at the end.
    RssKib,
    /// Open file descriptors at the end.
    Descriptors,
    /// Bytes received by the role per second.
    BytesInPerSecond,
    /// Bytes sent by the role per second.
    BytesOutPerSecond,
    /// Messages received by the role per second.
    MessagesInPerSecond,
    /// Messages sent by the role per second.
    MessagesOutPerSecond,
}

impl Figure {
    /// All figures.
    pub const ALL: [Figure; 8] = [
        Figure::ProcessorCores,
        Figure::PssKib,
        Figure::RssKib,
        Figure::Descriptors,
        Figure::BytesInPerSecond,
        Figure::BytesOutPerSecond,
        Figure::MessagesInPerSecond,
        Figure::MessagesOutPerSecond,
    ];
}

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Figure::ProcessorCores => "processor_cores",
            Figure::PssKib => "pss_kib",
            Figure::RssKib => "rss_kib",
            Figure::Descriptors => "descriptors",
            Figure::BytesInPerSecond => "bytes_in_per_second",
            Figure::BytesOutPerSecond => "bytes_out_per_second",
            Figure::MessagesInPerSecond => "messages_in_per_second",
            Figure::MessagesOutPerSecond => "messages_out_per_second",
        })
    }
}

/// The figures of one role; `None` where a figure is not measured.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Figures {
    /// The role.
    pub role: Role,
    /// See [`Figure::ProcessorCores`].
    pub processor_cores: f64,
    /// See [`Figure::PssKib`].
    pub pss_kib: f64,
    /// See [`Figure::RssKib`].
    pub rss_kib: f64,
    /// See [`Figure::Descriptors`].
    pub descriptors: f64,
    /// See [`Figure::BytesInPerSecond`].
    pub bytes_in_per_second: Option<f64>,
    /// See [`Figure::BytesOutPerSecond`].
    pub bytes_out_per_second: Option<f64>,
    /// See [`Figure::MessagesInPerSecond`].
    pub messages_in_per_second: Option<f64>,
    /// See [`Figure::MessagesOutPerSecond`].
    pub messages_out_per_second: Option<f64>,
}

impl Figures {
    /// The value of one figure, if it is measured.
    pub fn get(&self, figure: Figure) -> Option<f64> {
        match figure {
            Figure::ProcessorCores => Some(self.processor_cores),
            Figure::PssKib => Some(self.pss_kib),
            Figure::RssKib => Some(self.rss_kib),
            Figure::Descriptors => Some(self.descriptors),
            Figure::BytesInPerSecond => self.bytes_in_per_second,
            Figure::BytesOutPerSecond => self.bytes_out_per_second,
            Figure::MessagesInPerSecond => self.messages_in_per_second,
            Figure::MessagesOutPerSecond => self.messages_out_per_second,
        }
    }
}

/// A sample of all processes at one moment.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    pub at: Instant,
    /// The sum over all real processes.
    pub real: ProcessSample,
    pub hollow: ProcessSample,
    pub discoveries: Vec<ProcessSample>,
    pub link: ProcessSample,
    /// The sum over all discovery stand-ins.
    pub traffic: Traffic,
    pub link_traffic: LinkTraffic,
    pub operator: OperatorTraffic,
}

/// The numbers of open descriptors at the end, which the short form checks.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Descriptors {
    /// Of all real processes together.
    pub real: u64,
    /// Of the host of hollow sidecars.
    pub hollow: u64,
    /// Of the discovery stand-in that has the most.
    pub discovery: u64,
    /// Of the link.
    pub link: u64,
}

/// The measurement of the time between two samples.
#[derive(Clone, Debug, Serialize)]
pub struct Measurement {
    /// The length of that time.
    pub seconds: f64,
    /// The figures of discoveries role.
    pub roles: Vec<Figures>,
    /// The traffic of all discovery stand-ins together. `open` and `up_to_date` are values at the
    /// end.
    pub discovery_traffic: Traffic,
    /// The traffic through the link.
    pub link_traffic: LinkTraffic,
    /// The operator's queries to real processes.
    pub operator_traffic: OperatorTraffic,
    /// Open descriptors at the end.
    pub descriptors: Descriptors,
}

/// Adds up the traffic of several discovery stand-ins.
pub(super) fn sum(all: &[Traffic]) -> Traffic {
    let add = |a: Answers, b: Answers| Answers { count: a.count + b.count, bytes: a.bytes + b.bytes };
    all.iter().fold(Traffic::default(), |sum, one| Traffic {
        calls: sum.calls + one.calls,
        bytes_in: sum.bytes_in + one.bytes_in,
        whole: add(sum.whole, one.whole),
        changes: add(sum.changes, one.changes),
        quiet: add(sum.quiet, one.quiet),
        connections: sum.connections + one.connections,
        open: sum.open + one.open,
        up_to_date: sum.up_to_date + one.up_to_date,
    })
}

fn traffic_between(from: &Traffic, to: &Traffic) -> Traffic {
    let subtract =
        |to: Answers, from: Answers| Answers { count: to.count - from.count, bytes: to.bytes - from.bytes };
    Traffic {
        calls: to.calls - from.calls,
        bytes_in: to.bytes_in - from.bytes_in,
        whole: subtract(to.whole, from.whole),
        changes: subtract(to.changes, from.changes),
        quiet: subtract(to.quiet, from.quiet),
        connections: to.connections - from.connections,
        ..*to
    }
}

fn link_traffic_between(from: &LinkTraffic, to: &LinkTraffic) -> LinkTraffic {
    LinkTraffic {
        connections: to.connections - from.connections,
        reset: to.reset - from.reset,
        bytes_there: to.bytes_there - from.bytes_there,
        bytes_back: to.bytes_back - from.bytes_back,
    }
}

fn operator_traffic_between(from: &OperatorTraffic, to: &OperatorTraffic) -> OperatorTraffic {
    OperatorTraffic {
        calls: to.calls - from.calls,
        bytes_in: to.bytes_in - from.bytes_in,
        bytes_out: to.bytes_out - from.bytes_out,
    }
}

/// The figures of one process, or the mean over `share` processes.
fn process_figures(
    role: Role,
    from: &[ProcessSample],
    to: &[ProcessSample],
    seconds: f64,
    count: f64,
) -> Figures {
    let processor = |all: &[ProcessSample]| all.iter().map(|one| one.processor.as_secs_f64()).sum::<f64>();
    Figures {
        role,
        processor_cores: (processor(to) - processor(from)) / seconds / count,
        pss_kib: to.iter().map(|one| one.pss_kib as f64).sum::<f64>() / count,
        rss_kib: to.iter().map(|one| one.rss_kib as f64).sum::<f64>() / count,
        descriptors: to.iter().map(|one| one.descriptors as f64).sum::<f64>() / count,
        bytes_in_per_second: None,
        bytes_out_per_second: None,
        messages_in_per_second: None,
        messages_out_per_second: None,
    }
}

/// The measurement of the time between two samples.
pub(super) fn between(layout: &Layout, from: &Sample, to: &Sample) -> Measurement {
    let seconds = (to.at - from.at).as_secs_f64();
    let traffic = traffic_between(&from.traffic, &to.traffic);
    let link_traffic = link_traffic_between(&from.link_traffic, &to.link_traffic);
    let operator = operator_traffic_between(&from.operator, &to.operator);
    let answers = (traffic.whole.count + traffic.changes.count + traffic.quiet.count) as f64;
    let answer_bytes = (traffic.whole.bytes + traffic.changes.bytes + traffic.quiet.bytes) as f64;
    let (real, sidecars, discoveries) = (layout.real as f64, layout.sidecars as f64, DISCOVERIES as f64);
    // All sidecars make the same polls; the operator queries real processes only.
    let sidecar = Figures {
        bytes_in_per_second: Some((answer_bytes / sidecars + operator.bytes_in as f64 / real) / seconds),
        bytes_out_per_second: Some(
            (traffic.bytes_in as f64 / sidecars + operator.bytes_out as f64 / real) / seconds,
        ),
        messages_in_per_second: Some((answers / sidecars + operator.calls as f64 / real) / seconds),
        messages_out_per_second: Some(
            (traffic.calls as f64 / sidecars + operator.calls as f64 / real) / seconds,
        ),
        ..process_figures(Role::Sidecar, &[from.real], &[to.real], seconds, real)
    };
    let discovery = Figures {
        bytes_in_per_second: Some(traffic.bytes_in as f64 / discoveries / seconds),
        bytes_out_per_second: Some(answer_bytes / discoveries / seconds),
        messages_in_per_second: Some(traffic.calls as f64 / discoveries / seconds),
        messages_out_per_second: Some(answers / discoveries / seconds),
        ..process_figures(Role::Discovery, &from.discoveries, &to.discoveries, seconds, discoveries)
    };
    let link = Figures {
        bytes_in_per_second: Some(link_traffic.bytes_there as f64 / seconds),
        bytes_out_per_second: Some(link_traffic.bytes_back as f64 / seconds),
        ..process_figures(Role::RegionLink, &[from.link], &[to.link], seconds, 1.0)
    };
    let hollow = process_figures(Role::HollowHost, &[from.hollow], &[to.hollow], seconds, 1.0);
    let max_descriptors = to.discoveries.iter().map(|one| one.descriptors).max();
    Measurement {
        seconds,
        roles: vec![sidecar, hollow, discovery, link],
        discovery_traffic: traffic,
        link_traffic,
        operator_traffic: operator,
        descriptors: Descriptors {
            real: to.real.descriptors,
            hollow: to.hollow.descriptors,
            discovery: max_descriptors.unwrap_or_default(),
            link: to.link.descriptors,
        },
    }
}
