//! Metrics: the core's counters in the OpenMetrics text format, on an address of the operator's.

use crate::fleet::{self, Membership};
use async_io::{Async, Timer};
use cottonpoint_codec::buffer::Buffer;
use cottonpoint_codec::http;
use cottonpoint_core::Sidecar;
use cottonpoint_net::clients::{Clients, LINGERING_TIMEOUT, close};
use cottonpoint_net::memory::Memory;
use cottonpoint_net::servers::EndpointConnections;
use cottonpoint_net::{with_timeout, write_all};
use futures_lite::future;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

/// Time limit for a whole request. One connection is served at a time, so that clients cannot occupy
/// more memory or descriptors than that.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(200);

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ResultLabel {
    result: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct StandingLabel {
    standing: &'static str,
}

/// Serves the metrics endpoint; the values are read from these parts of the sidecar.
pub struct MetricsServer {
    /// The core.
    pub sidecar: Rc<Sidecar>,
    /// Client connections.
    pub clients: Rc<Clients>,
    /// Connections to endpoints.
    pub endpoint_connections: Rc<EndpointConnections>,
    /// The account of memory.
    pub memory: Rc<Memory>,
    /// The fleet membership, if it is on.
    pub fleet: Option<Rc<Membership>>,
}

impl MetricsServer {
    /// Renders the current values.
    pub fn render(&self) -> String {
        let counts = self.sidecar.counts();
        let mut registry = Registry::with_prefix("cottonpoint");
        let admitted: Counter = Counter::default();
        admitted.inc_by(counts.admitted());
        registry.register("flows_admitted", "Flows handed to the balancer", admitted);
        let bad: Counter = Counter::default();
        bad.inc_by(counts.bad_requests());
        registry.register(
            "bad_requests",
            "Requests that could not be read, or not be served as they were",
            bad,
        );
        let family = |values: &mut dyn Iterator<Item = (&'static str, u64)>| {
            let family = Family::<ResultLabel, Counter>::default();
            for (result, n) in values {
                family.get_or_create(&ResultLabel { result }).inc_by(n);
            }
            family
        };
        let ended = family(&mut counts.ended().into_iter());
        registry.register("flows_ended", "Flows that no target's answer ended, by how they ended", ended);
        let outcomes = counts.attempts().map(|(outcome, n)| (outcome_label(outcome), n));
        let attempts = family(&mut { outcomes });
        registry.register("forwards", "Attempts at endpoints, by outcome", attempts);
        let (received, failed) = counts.lists();
        let lists = family(&mut [("told", received), ("failed", failed)].into_iter());
        registry.register("lists", "Lists and changes of discovery, and failures to have them", lists);
        let polls = family(&mut counts.poll_failures().into_iter());
        registry.register(
            "discovery_failures",
            "Polls and connects that came to nothing, by reason",
            polls,
        );
        let cuts = family(&mut counts.answers_cut().into_iter());
        registry.register("answers_cut", "Answers cut off while they were passed on, by reason", cuts);
        let gauge = |n: usize| {
            let gauge: Gauge = Gauge::default();
            gauge.set(i64::try_from(n).unwrap_or(i64::MAX));
            gauge
        };
        let denied = family(&mut self.sidecar.guard().denials());
        registry.register("attempts_denied", "Attempts not begun or not finished, by reason", denied);
        let violated = family(&mut self.sidecar.guard().violations());
        registry.register("rule_violations", "Rules found broken, or about to be, by rule", violated);
        let expiries: Counter = Counter::default();
        expiries.inc_by(counts.lease_expiries());
        registry.register("list_expiries", "Times that the list could not be confirmed in time", expiries);
        let (age, left) = self.sidecar.list_age();
        let seconds = |time: Duration| {
            let gauge: Gauge<f64, AtomicU64> = Gauge::default();
            gauge.set(time.as_secs_f64());
            gauge
        };
        // There is no age before discovery has sent a list.
        if let Some(age) = age {
            registry.register(
                "list_age_seconds",
                "Time since the list was known to be complete",
                seconds(age),
            );
        }
        registry.register("list_lease_seconds", "Time for which the list may still be used", seconds(left));
        let (budget, reserved, peak) = self.memory.figures();
        registry.register("memory_budget_bytes", "Memory that may be reserved", gauge(budget));
        registry.register("memory_reserved_bytes", "Memory reserved for messages", gauge(reserved));
        registry.register("memory_reserved_peak_bytes", "Most memory ever reserved", gauge(peak));
        let refusals = family(&mut self.memory.refusals().into_iter());
        registry.register("memory_refusals", "Reservations of memory refused, by purpose", refusals);
        registry.register("client_connections", "Open client connections", gauge(self.clients.open()));
        registry.register(
            "target_connections",
            "Open connections to targets",
            gauge(self.endpoint_connections.open()),
        );
        registry.register("targets", "Targets that take work", gauge(self.sidecar.available_endpoints()));
        if let Some(fleet) = self.fleet.as_ref().and_then(|fleet| fleet.handle()) {
            let [members, datagrams] = fleet::metric_values(fleet);
            let gauges = Family::<StandingLabel, Gauge>::default();
            for (standing, n) in members {
                gauges.get_or_create(&StandingLabel { standing }).set(i64::try_from(n).unwrap_or(i64::MAX));
            }
            registry.register("fleet_members", "Members of the fleet held, by standing", gauges);
            let datagrams = family(&mut datagrams.into_iter());
            registry.register(
                "fleet_datagrams",
                "Datagrams of the fleet, by what became of them",
                datagrams,
            );
        }
        let mut page = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut page, &registry);
        page
    }

    /// Answers `GET /metrics`, and everything else with 404, one connection at a time.
    pub async fn serve(self, listener: TcpListener) -> io::Result<()> {
        let listener = Async::new(listener)?;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let answered = with_timeout(REQUEST_TIMEOUT, self.answer(&stream)).await.is_ok();
                    close(&stream, if answered { LINGERING_TIMEOUT } else { Duration::ZERO }).await;
                }
                Err(_) => drop(Timer::after(ACCEPT_RETRY_DELAY).await),
            }
            future::yield_now().await;
        }
    }

    async fn answer(&self, stream: &Async<TcpStream>) -> io::Result<()> {
        stream.get_ref().set_nodelay(true)?;
        let (mut buffer, mut reader) = (Buffer::default(), stream);
        let head = http::read_head(&mut buffer, &mut reader, http::begins_request).await;
        let is_metrics_request =
            matches!(head, Ok(Some(head)) if head.line[0] == "GET" && head.line[1] == "/metrics");
        let (status, body) =
            if is_metrics_request { ("200 OK", self.render()) } else { ("404 Not Found", String::new()) };
        let answer = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/openmetrics-text; version=1.0.0; charset=utf-8\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        write_all(stream, answer.as_bytes()).await
    }
}

fn outcome_label(outcome: cottonpoint_decide::Outcome) -> &'static str {
    use cottonpoint_decide::Outcome;
    match outcome {
        Outcome::Ok => "served",
        Outcome::Error => "error",
        Outcome::Rejected => "full",
        Outcome::TimedOut => "timed_out",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "moot",
    }
}
