//! What holds for the whole day: network, discovery, rules, clients, load, prices.

use super::figures::{Length, Lengths, Span, ms};
use serde::Deserialize;

/// Delays between machines.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One way between a sidecar and a server.
    pub one_way: Length,
    /// Each delay varies by up to this share of itself, up or down.
    pub jitter: f64,
    /// One way between a client and a sidecar.
    pub client: Length,
}

impl Default for Network {
    fn default() -> Network {
        Network { one_way: Length(200_000), jitter: 0.2, client: Length(800_000) }
    }
}

/// How sidecars learn of servers.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Changes come only to those who asked.
    pub asked: bool,
    /// From a planned change to its entry in the list.
    pub notice: Lengths,
    /// From the start of a server to its entry in the list.
    pub add: Lengths,
    /// From a machine's silent end to its entry in the list.
    pub silent: Lengths,
    /// From an entry in the list to the telling of one sidecar.
    pub spread: Lengths,
    /// A call that is not answered for so long has failed.
    pub timeout: Length,
}

impl Default for Discovery {
    fn default() -> Discovery {
        let span = |from, to| Lengths { from: ms(from), to: ms(to) };
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

/// What sidecars are allowed, and the figures of the rules that they are held to.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Attempts for one request at most.
    pub max_attempts: u32,
    /// Two attempts of one request may be out at once.
    pub may_duplicate: bool,
    /// Attempts may be withdrawn.
    pub may_cancel: bool,
    /// A final answer may come so long after the client's due.
    pub answer_slack: Length,
    /// New work to a server that drains or is gone ends so long after the word of it.
    pub drain_grace: Length,
    /// A cold server sent more than this multiple of what it can do ...
    pub fall_multiple: f64,
    /// ... over this time falls over.
    pub fall_after: Length,
    /// A sidecar that has not asked for so long counts as told of what was listed then.
    pub ask_within: Length,
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
    /// Tries after the first one, at most.
    pub retries: u32,
    /// The first try is given up after this share of the class's patience, drawn once for the day; a later one
    /// has what is left.
    pub try_share: Span,
    /// Clients' patience for their first try varies by up to this share of itself, up or down.
    pub try_varies: f64,
    /// Pause before a further try.
    pub backoff: Lengths,
    /// Share of clients that stay away as long as a refusal says.
    pub honour: f64,
    /// The longest stay-away that is heeded.
    pub max_retry_after: Length,
    /// Share of clients that leave early, at some moment within their try.
    pub impatient: f64,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            retries: 3,
            try_share: Span { from: 0.5, to: 0.6 },
            try_varies: 0.0,
            backoff: Lengths { from: ms(65), to: ms(520) },
            honour: 0.2,
            max_retry_after: ms(2000),
            impatient: 0.04,
        }
    }
}

/// How much is asked. Exactly one of `rate` and `of_capacity` is given.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// First tries a second.
    #[serde(default)]
    pub rate: Option<f64>,
    /// First tries as a share of what the tier that runs out first can do.
    #[serde(default)]
    pub of_capacity: Option<Span>,
    /// The tenants' quotas together, as a share of the same capacity.
    #[serde(default = "most_of_it")]
    pub quota: Span,
    /// The rate swings by this share of itself ...
    #[serde(default)]
    pub swing: f64,
    /// ... in waves of this length.
    #[serde(default = "twenty_seconds")]
    pub wave: Length,
}

fn most_of_it() -> Span {
    Span { from: 0.76, to: 0.94 }
}

fn twenty_seconds() -> Length {
    ms(20_000)
}

/// What is taken off the score; see `score` for how each is counted.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Prices {
    /// For work done for nothing, as a share of the work asked for.
    pub waste: f64,
    /// For worth that failed only after its aim had gone by.
    pub late_fail: f64,
    /// For each new connection, per first try.
    pub connection: f64,
    /// For servers slowed by crowding, by the share of server time spent so.
    pub crowded: f64,
}

impl Default for Prices {
    fn default() -> Prices {
        Prices { waste: 0.13, late_fail: 0.08, connection: 0.04, crowded: 0.06 }
    }
}
