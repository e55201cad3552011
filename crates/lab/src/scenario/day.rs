//! Settings of the whole run: network, discovery, rules, clients, load, penalties of the score.

use super::figures::{DurationNs, DurationRange, ValueRange, ms};
use serde::Deserialize;

/// Network delays.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One way between a sidecar and an endpoint.
    pub one_way: DurationNs,
    /// Each delay varies by up to this share of itself, up or down.
    pub jitter: f64,
    /// One way between a client and a sidecar.
    pub client: DurationNs,
}

impl Default for Network {
    fn default() -> Network {
        Network { one_way: DurationNs(200_000), jitter: 0.2, client: DurationNs(800_000) }
    }
}

/// How sidecars learn of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Changes are sent only to sidecars that poll for them.
    pub asked: bool,
    /// From a planned change to its entry in the endpoint list.
    pub notice: DurationRange,
    /// From the start of an endpoint to its entry in the list.
    pub add: DurationRange,
    /// From the silent end of a machine to its entry in the list.
    pub silent: DurationRange,
    /// From an entry in the list to its delivery to one sidecar.
    pub spread: DurationRange,
    /// A poll without an answer fails after this time.
    pub timeout: DurationNs,
}

impl Default for Discovery {
    fn default() -> Discovery {
        let span = |from, to| DurationRange { from: ms(from), to: ms(to) };
        Discovery {
            asked: true,
            notice: span(2100, 4900),
            add: span(240, 2400),
            silent: span(4100, 9400),
            spread: span(0, 500),
            timeout: ms(1000),
        }
    }
}

/// What sidecars are allowed, and the parameters of the rules that they must keep.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// The most attempts for one request.
    pub max_attempts: u32,
    /// Two attempts of one request may be outstanding at once.
    pub may_duplicate: bool,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// A final answer may come this long after the client's deadline.
    pub answer_slack: DurationNs,
    /// New work to a draining or removed endpoint must end this long after the notification.
    pub drain_grace: DurationNs,
    /// A cold endpoint that is sent more than this multiple of its capacity ...
    pub fall_multiple: f64,
    /// ... over this time fails.
    pub fall_after: DurationNs,
    /// A sidecar that has not polled for this long counts as notified of what was listed then.
    pub ask_within: DurationNs,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            max_attempts: 6,
            may_duplicate: false,
            may_cancel: true,
            answer_slack: ms(8),
            drain_grace: ms(500),
            fall_multiple: 2.5,
            fall_after: ms(1500),
            ask_within: ms(10_000),
        }
    }
}

/// How clients behave.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// The most retries of a client.
    pub retries: u32,
    /// The timeout of a first try, as a share of the client timeout, drawn once per run; a retry
    /// has what is left.
    pub try_share: ValueRange,
    /// The timeout of a client's first try varies by up to this share of itself, up or down.
    pub try_varies: f64,
    /// Backoff before a retry.
    pub backoff: DurationRange,
    /// Share of clients that honour the retry-after of a refusal.
    pub honour: f64,
    /// The longest retry-after that is honoured.
    pub max_retry_after: DurationNs,
    /// Share of clients that leave early, at some time within their first try.
    pub impatient: f64,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            retries: 3,
            try_share: ValueRange { from: 0.5, to: 0.6 },
            try_varies: 0.0,
            backoff: DurationRange { from: ms(65), to: ms(520) },
            honour: 0.2,
            max_retry_after: ms(2000),
            impatient: 0.04,
        }
    }
}

/// The offered load. Exactly one of `rate` and `of_capacity` is given.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// First tries per second.
    #[serde(default)]
    pub rate: Option<f64>,
    /// First tries as a share of the rate that the scarcest tier can sustain.
    #[serde(default)]
    pub of_capacity: Option<ValueRange>,
    /// The sum of the tenants' quotas, as a share of the same rate.
    #[serde(default = "most_of_it")]
    pub quota: ValueRange,
    /// The rate varies in a sine wave by this share of itself ...
    #[serde(default)]
    pub swing: f64,
    /// ... with this period.
    #[serde(default = "twenty_seconds")]
    pub wave: DurationNs,
}

fn most_of_it() -> ValueRange {
    ValueRange { from: 0.76, to: 0.94 }
}

fn twenty_seconds() -> DurationNs {
    ms(20_000)
}

/// Penalties subtracted from the score; the module `score` defines how each is counted.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Prices {
    /// For wasted work, as a share of the work offered.
    pub waste: f64,
    /// For worth that failed only after the latency target had passed.
    pub late_fail: f64,
    /// For each new connection, per first try.
    pub connection: f64,
    /// For endpoints slowed by crowding, by the share of endpoint time spent so.
    pub crowded: f64,
}

impl Default for Prices {
    fn default() -> Prices {
        Prices { waste: 0.13, late_fail: 0.08, connection: 0.04, crowded: 0.06 }
    }
}
