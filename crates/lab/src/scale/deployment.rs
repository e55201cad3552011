//! All processes of one size and the operations on them.

use super::control::StandInProcess;
use super::error::ScaleError;
use super::host::discovery::{DiscoveryOrder, DiscoveryReport};
use super::host::hollow::{HollowOrder, HollowReport, HollowSidecar};
use super::host::link::LinkOrder;
use super::interrupt::Interrupt;
use super::layout::{DISCOVERIES, Layout, Region, discovery, region};
use super::phases::AnswerLengths;
use super::procfs;
use super::real::{ConsoleFigures, RealSidecars};
use super::sample::{Sample, sum};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// The delay of bytes between the regions, in either direction.
const LINK_DELAY: Duration = Duration::from_millis(20);
/// The interval between two checks of which sidecars have the newest list.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
const ANSWER_LIMIT: u64 = 1 << 20;
/// A new list means two changes for discovery's clients: one line is removed and one added.
const CHANGES_PER_LIST: u64 = 2;

/// All processes of one size. They are killed on drop.
pub(super) struct Deployment {
    pub layout: Layout,
    discoveries: Vec<StandInProcess<DiscoveryOrder>>,
    link: StandInProcess<LinkOrder>,
    hollow: StandInProcess<HollowOrder>,
    real: RealSidecars,
    near_addresses: Vec<SocketAddr>,
    far_addresses: Vec<SocketAddr>,
    version: u64,
    // Fields are dropped in order, so this outlives the processes.
    _directory: TempDir,
}

impl Deployment {
    /// Starts the stand-in processes, but no sidecar.
    pub(super) fn new(layout: Layout, interrupt: &Interrupt) -> Result<Deployment, ScaleError> {
        let directory = tempfile::tempdir()?;
        let mut discoveries = Vec::new();
        for number in 0..DISCOVERIES {
            interrupt.sleep(Duration::ZERO)?;
            discoveries.push(StandInProcess::start(
                "discovery",
                format!("discovery {number}"),
                directory.path(),
            )?);
        }
        let near_addresses =
            discoveries.iter_mut().map(|host| Ok(host.order(&DiscoveryOrder::Report)?.address));
        let near_addresses = near_addresses.collect::<Result<Vec<_>, ScaleError>>()?;
        let mut link: StandInProcess<LinkOrder> =
            StandInProcess::start("link", "region link".to_owned(), directory.path())?;
        let far_addresses = link.order(&LinkOrder::LeadTo(near_addresses.clone()))?.addresses;
        link.order(&LinkOrder::Pass { delay: LINK_DELAY })?;
        let hollow = StandInProcess::start("hollow", "hollow sidecars".to_owned(), directory.path())?;
        let discovery_addresses: Vec<_> = (0..layout.real)
            .map(|sidecar| discovery_address(&near_addresses, &far_addresses, sidecar))
            .collect();
        let real = RealSidecars::new(directory.path(), &discovery_addresses)?;
        let version = 0;
        Ok(Deployment {
            layout,
            discoveries,
            link,
            hollow,
            real,
            near_addresses,
            far_addresses,
            version,
            _directory: directory,
        })
    }

    /// Starts sidecars, all at once.
    pub(super) fn start(&mut self, sidecars: &[usize], interrupt: &Interrupt) -> Result<(), ScaleError> {
        let (real, hollow) = self.split_by_kind(sidecars);
        let sidecar = |&index: &usize| HollowSidecar {
            index,
            discovery: discovery_address(&self.near_addresses, &self.far_addresses, index),
        };
        let hollow = HollowOrder::Start(hollow.iter().map(sidecar).collect());
        self.hollow.order(&hollow)?;
        self.real.start(&real, interrupt)
    }

    /// Ends sidecars, all at once, without a graceful stop.
    pub(super) fn end(&mut self, sidecars: &[usize]) -> Result<(), ScaleError> {
        let (real, hollow) = self.split_by_kind(sidecars);
        self.hollow.order(&HollowOrder::End(hollow))?;
        Ok(self.real.kill(&real)?)
    }

    fn split_by_kind(&self, sidecars: &[usize]) -> (Vec<usize>, Vec<usize>) {
        sidecars.iter().partition(|&&sidecar| sidecar < self.layout.real)
    }

    /// Publishes a new list at all discovery stand-ins.
    pub(super) fn publish(&mut self) -> Result<(), ScaleError> {
        self.version += 1;
        let order = DiscoveryOrder::Publish { version: self.version };
        self.discoveries.iter_mut().try_for_each(|host| host.order(&order).map(drop))
    }

    /// Cuts the link between the regions, or restores it.
    pub(super) fn set_link_cut(&mut self, cut: bool) -> Result<(), ScaleError> {
        let order = if cut { LinkOrder::Cut } else { LinkOrder::Pass { delay: LINK_DELAY } };
        self.link.order(&order).map(drop)
    }

    fn reports(&mut self) -> Result<Vec<DiscoveryReport>, ScaleError> {
        self.discoveries.iter_mut().map(|host| host.order(&DiscoveryOrder::Report)).collect()
    }

    /// The number of sidecars with the newest list, as their polls to discovery show.
    pub(super) fn up_to_date(&mut self) -> Result<u64, ScaleError> {
        Ok(self.reports()?.iter().map(|report| report.traffic.up_to_date).sum())
    }

    /// Waits until `sidecars` sidecars have the newest list and `hollow` hollow sidecars have it. A
    /// sidecar counts once it has polled discovery for anything newer, a hollow sidecar once its
    /// endpoint list contains the newest line.
    pub(super) fn wait_until_up_to_date(
        &mut self,
        sidecars: usize,
        hollow: usize,
        limit: Duration,
        interrupt: &Interrupt,
    ) -> Result<(), ScaleError> {
        let condition = format!("{sidecars} sidecars, {hollow} of them hollow, have the newest list");
        interrupt.wait_for(&condition, limit, POLL_INTERVAL, || {
            if self.up_to_date()? < sidecars as u64 {
                return Ok(None);
            }
            let order = HollowOrder::Report { version: self.version };
            let HollowReport { up_to_date, .. } = self.hollow.order(&order)?;
            Ok((up_to_date == hollow).then_some(()))
        })
    }

    /// Waits until all sidecars have the newest list.
    pub(super) fn wait_until_all_up_to_date(
        &mut self,
        limit: Duration,
        interrupt: &Interrupt,
    ) -> Result<(), ScaleError> {
        self.wait_until_up_to_date(self.layout.sidecars, self.layout.hollow().len(), limit, interrupt)
    }

    /// Runs one round of the operator's actions on all real processes.
    pub(super) fn run_operator_round(&mut self) -> Result<(), ScaleError> {
        Ok(self.real.run_operator_round()?)
    }

    /// The console figures of the real processes.
    pub(super) fn console_figures(&mut self) -> Result<Vec<ConsoleFigures>, ScaleError> {
        Ok(self.real.console_figures()?)
    }

    /// Samples all processes now.
    pub(super) fn sample(&mut self) -> Result<Sample, ScaleError> {
        let traffic: Vec<_> = self.reports()?.iter().map(|report| report.traffic).collect();
        let link_traffic = self.link.order(&LinkOrder::Report)?.traffic;
        let discoveries = self.discoveries.iter().map(|host| procfs::sample(host.id()));
        Ok(Sample {
            at: Instant::now(),
            real: self.real.sample()?,
            hollow: procfs::sample(self.hollow.id())?,
            discoveries: discoveries.collect::<Result<_, _>>()?,
            link: procfs::sample(self.link.id())?,
            traffic: sum(&traffic),
            link_traffic,
            operator: self.real.traffic(),
        })
    }

    /// Polls the first discovery stand-in as a sidecar does and returns the lengths of its answers.
    /// These polls count in its traffic.
    pub(super) fn answer_lengths(&mut self) -> Result<AnswerLengths, ScaleError> {
        let DiscoveryReport { address, generation, .. } =
            self.discoveries[0].order(&DiscoveryOrder::Report)?;
        let previous = generation.saturating_sub(CHANGES_PER_LIST);
        Ok(AnswerLengths {
            whole: answer_length(address, "")?,
            change: answer_length(address, &format!("?from={previous}"))?,
            quiet: answer_length(address, &format!("?from={generation}"))?,
        })
    }
}

/// The length of discovery's answer, including the head, to a poll that does not wait.
fn answer_length(address: SocketAddr, query: &str) -> io::Result<u64> {
    let mut stream = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    write!(stream, "GET /registry/instances{query} HTTP/1.1\r\nHost: {address}\r\n\r\n")?;
    stream.shutdown(Shutdown::Write)?;
    let mut answer = Vec::new();
    stream.take(ANSWER_LIMIT).read_to_end(&mut answer)?;
    Ok(answer.len() as u64)
}

/// The address that a sidecar polls: a discovery stand-in, or the relay in front of it.
fn discovery_address(
    near_addresses: &[SocketAddr],
    far_addresses: &[SocketAddr],
    sidecar: usize,
) -> SocketAddr {
    match region(sidecar) {
        Region::Near => near_addresses[discovery(sidecar)],
        Region::Far => far_addresses[discovery(sidecar)],
    }
}
