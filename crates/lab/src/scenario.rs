//! Scenarios: what a day looks like, read from a TOML file and checked before anything runs.
//!
//! Times are written with their unit (`"750ms"`, `"2s"`, `"200us"`), counts and shares as plain numbers. Where
//! a figure may be a range (`[1.5, 2.1]`), each seed draws its own from it, evenly.

use cottonpoint_file::{Fault, Text};
use serde::de::{self, Deserializer, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::Path;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// A figure, or the range from which each seed draws one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    /// The least.
    pub from: f64,
    /// The most.
    pub to: f64,
}

impl Span {
    /// A range of one figure.
    pub const fn just(value: f64) -> Span {
        Span { from: value, to: value }
    }

    /// The figure at a share of the way, 0 to 1.
    pub fn at(self, share: f64) -> f64 {
        self.from + (self.to - self.from) * share
    }
}

impl Default for Span {
    fn default() -> Span {
        Span::just(0.0)
    }
}

struct SpanVisitor;

impl<'de> Visitor<'de> for SpanVisitor {
    type Value = Span;
    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a number, or a range of two numbers as [least, most]")
    }
    fn visit_f64<E: de::Error>(self, v: f64) -> Result<Span, E> {
        Ok(Span::just(v))
    }
    fn visit_i64<E: de::Error>(self, v: i64) -> Result<Span, E> {
        Ok(Span::just(v as f64))
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Span, A::Error> {
        pair(&mut seq, &self).map(|(from, to)| Span { from, to })
    }
}

fn pair<'de, A: SeqAccess<'de>, T: Deserialize<'de>>(
    seq: &mut A,
    expected: &dyn de::Expected,
) -> Result<(T, T), A::Error> {
    let from = seq.next_element()?.ok_or_else(|| de::Error::invalid_length(0, expected))?;
    let to = seq.next_element()?.ok_or_else(|| de::Error::invalid_length(1, expected))?;
    match seq.next_element::<T>()? {
        None => Ok((from, to)),
        Some(_) => Err(de::Error::invalid_length(3, expected)),
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Span, D::Error> {
        d.deserialize_any(SpanVisitor)
    }
}

/// A length of time, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Length(pub u64);

impl Length {
    /// In seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e9
    }

    /// As the standard library's type.
    pub fn duration(self) -> Duration {
        Duration::from_nanos(self.0)
    }
}

struct LengthVisitor;

impl Visitor<'_> for LengthVisitor {
    type Value = Length;
    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a time with its unit, such as \"750ms\", \"2s\" or \"200us\"")
    }
    fn visit_str<E: de::Error>(self, text: &str) -> Result<Length, E> {
        let wrong = |why: &dyn fmt::Display| E::custom(format!("{text:?} is no time with its unit: {why}"));
        let length = humantime::parse_duration(text).map_err(|e| wrong(&e))?;
        u64::try_from(length.as_nanos()).map(Length).map_err(|e| wrong(&e))
    }
}

impl<'de> Deserialize<'de> for Length {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Length, D::Error> {
        d.deserialize_any(LengthVisitor)
    }
}

/// A length of time, or the range from which each draw is made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lengths {
    /// The shortest.
    pub from: Length,
    /// The longest.
    pub to: Length,
}

impl Lengths {
    /// A range of one length.
    pub const fn just(length: Length) -> Lengths {
        Lengths { from: length, to: length }
    }

    /// The length at a share of the way, 0 to 1, in nanoseconds.
    pub fn at(self, share: f64) -> u64 {
        Span { from: self.from.0 as f64, to: self.to.0 as f64 }.at(share) as u64
    }
}

struct LengthsVisitor;

impl<'de> Visitor<'de> for LengthsVisitor {
    type Value = Lengths;
    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a time with its unit, such as \"750ms\", or a range of two as [\"1s\", \"2s\"]")
    }
    fn visit_str<E: de::Error>(self, text: &str) -> Result<Lengths, E> {
        LengthVisitor.visit_str(text).map(Lengths::just)
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Lengths, A::Error> {
        pair(&mut seq, &self).map(|(from, to)| Lengths { from, to })
    }
}

impl<'de> Deserialize<'de> for Lengths {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Lengths, D::Error> {
        d.deserialize_any(LengthsVisitor)
    }
}

const fn ms(n: u64) -> Length {
    Length(n * 1_000_000)
}

/// A whole scenario.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name, by which results are kept.
    pub name: String,
    /// What it is for, in a sentence.
    pub about: String,
    /// How long clients keep coming.
    pub length: Length,
    /// Requests before this time do not count.
    #[serde(default = "one_second")]
    pub warm_up: Length,
    /// Delays between machines.
    #[serde(default)]
    pub network: Network,
    /// How sidecars learn of servers.
    #[serde(default)]
    pub discovery: Discovery,
    /// What is allowed, and the figures of the rules.
    #[serde(default)]
    pub rules: Rules,
    /// How clients behave.
    #[serde(default)]
    pub clients: Clients,
    /// How much they ask.
    pub load: Load,
    /// What is taken off the score.
    #[serde(default)]
    pub prices: Prices,
    /// Classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Tenants; may be none.
    #[serde(rename = "tenant", default)]
    pub tenants: Vec<Tenant>,
    /// Tiers of servers, the first one called by clients.
    #[serde(rename = "tier")]
    pub tiers: Vec<Tier>,
    /// What goes wrong, and when.
    #[serde(rename = "trouble", default)]
    pub troubles: Vec<Trouble>,
}

fn one_second() -> Length {
    ms(1000)
}

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

/// The law that a class's work follows around its mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Law {
    /// Log-normal with the stated coefficient of variation.
    #[default]
    Lognormal,
    /// Pareto with the stated coefficient of variation.
    Pareto,
    /// Exponential; its coefficient of variation is 1.
    Exponential,
    /// Always the mean.
    Fixed,
}

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Repeats are harmless.
    #[default]
    Safe,
    /// All servers drop a repeat for the class's window.
    Keyed,
    /// It must never run twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share of the requests, against those of the other classes.
    pub share: Span,
    /// Mean work over all tiers, as time on a core of speed 1.
    pub work: Lengths,
    /// The law of the work.
    #[serde(default)]
    pub law: Law,
    /// Its coefficient of variation.
    #[serde(default = "half")]
    pub cv: Span,
    /// How much the attempts of one request vary around its work (coefficient of variation).
    #[serde(default)]
    pub noise: Span,
    /// An answer within this time has the full worth.
    pub aim: Length,
    /// The client's whole patience, over all its tries.
    pub give_up: Length,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Share of the worth that a later answer still has.
    #[serde(default)]
    pub late_worth: f64,
    /// Whether it may run again.
    #[serde(default)]
    pub effect: Effect,
    /// For keyed classes: how long servers know a key.
    #[serde(default = "ten_seconds")]
    pub window: Length,
}

fn half() -> Span {
    Span::just(0.5)
}

fn ten_seconds() -> Length {
    ms(10_000)
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its share of the service.
    pub share: f64,
    /// What it asks for, as a multiple of its share.
    #[serde(default = "whole")]
    pub usage: Span,
    /// Worth of what it asks beyond its quota, as a fraction.
    #[serde(default = "a_fifth")]
    pub over_share_worth: f64,
}

fn whole() -> Span {
    Span::just(1.0)
}

fn a_fifth() -> f64 {
    0.2
}

/// A tier of servers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Its name.
    pub name: String,
    /// How many servers; a range draws a whole number.
    pub servers: Span,
    /// Sidecars before the first tier. Later tiers have one beside each server of the tier above.
    #[serde(default)]
    pub sidecars: Option<Span>,
    /// Share of a request's work that each call of this tier does.
    #[serde(default = "whole_share")]
    pub work: f64,
    /// Calls that each request of this tier makes to the next, on average, one after another.
    #[serde(default)]
    pub calls: Span,
    /// A call to the next tier is told the time that its caller has left, else it has its class's patience.
    #[serde(default = "yes")]
    pub passes_deadline: bool,
    /// Kinds of machine.
    #[serde(rename = "kind")]
    pub kinds: Vec<Kind>,
    /// Load reports.
    #[serde(default)]
    pub report: Option<Report>,
    /// Connections.
    #[serde(default)]
    pub connections: Connections,
    /// What crowding does.
    #[serde(default)]
    pub choke: Option<Choke>,
}

fn whole_share() -> f64 {
    1.0
}

fn yes() -> bool {
    true
}

/// A kind of machine.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Its share of the tier, against those of the other kinds.
    #[serde(default = "whole")]
    pub share: Span,
    /// Cores.
    #[serde(default = "one")]
    pub cores: u32,
    /// Work done by a core in a unit of time.
    #[serde(default = "whole")]
    pub speed: Span,
    /// How much machines of the kind differ in speed (coefficient of variation).
    #[serde(default)]
    pub speed_cv: Span,
    /// Requests in work at once, for each core.
    #[serde(default = "slots")]
    pub slots: Span,
    /// Requests that wait for a slot, for each core; more are turned away.
    #[serde(default = "queue")]
    pub queue: Span,
    /// Efficiency lost with each request held for a core ...
    #[serde(default)]
    pub thrash: Span,
    /// ... beyond this many.
    #[serde(default = "many")]
    pub thrash_at: Span,
    /// Share of its capacity that a fresh server has.
    #[serde(default = "whole")]
    pub cold_from: Span,
    /// How long it takes to warm up.
    #[serde(default)]
    pub cold_for: Lengths,
    /// Share of requests that it answers with an error.
    #[serde(default)]
    pub error_rate: Span,
    /// A withdrawn request stops also when it is running.
    #[serde(default)]
    pub stops_running: bool,
}

fn one() -> u32 {
    1
}

fn slots() -> Span {
    Span::just(16.0)
}

fn queue() -> Span {
    Span::just(16.0)
}

fn many() -> Span {
    Span::just(1e9)
}

/// Load reports, which come with answers.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// How often they are made anew.
    pub period: Lengths,
    /// How old a report is at least before it is handed out.
    pub delay: Lengths,
    /// How noisy its values are (coefficient of variation).
    #[serde(default)]
    pub noise: Span,
}

/// Connections to the servers of a tier.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Connections {
    /// Work that a new connection costs the server.
    pub handshake_work: Length,
    /// Round trips before the first request can go out on a new one.
    pub handshake_trips: f64,
    /// An idle one is closed after this time.
    pub idle: Length,
    /// One that does not come up in this time is given up.
    pub timeout: Length,
    /// Connections that a server holds for each core.
    pub cap: f64,
    /// Share of its capacity that a full table takes.
    pub full_tax: f64,
}

impl Default for Connections {
    fn default() -> Connections {
        Connections {
            handshake_work: Length(3_000_000),
            handshake_trips: 2.0,
            idle: ms(30_000),
            timeout: ms(50),
            cap: 750.0,
            full_tax: 0.25,
        }
    }
}

/// What crowding does: a server that has many requests waiting for its cores for long turns slower, and stays
/// so until it has been mostly idle for a while.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Choke {
    /// Requests waiting for each core.
    pub waiting: Span,
    /// For how long.
    pub over: Lengths,
    /// How many times slower it turns.
    pub slower: Span,
    /// It recovers after being mostly idle for so long ...
    pub rest: Lengths,
    /// ... which is below this utilisation, ...
    pub below: Span,
    /// ... or after this time.
    pub most: Lengths,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// Some servers run `size` times slower.
    Slow,
    /// Some servers fail a share `size` of their requests at once.
    FastErrors,
    /// `size` times the usual load.
    Burst,
    /// Some servers are replaced, a share `size` of the tier at a time, each drained for `drain` first.
    Deploy,
    /// All servers of the tier run `size` times slower.
    SharedSlow,
    /// Some machines vanish without a word: connections stay silent, new ones never come up.
    Vanish,
    /// Some processes die: connections are reset and refused. They start anew, cold, at the end.
    Die,
    /// Some sidecars and some servers cannot reach each other.
    Partition,
    /// Some servers take work and never finish it, while their reports look well.
    Gray,
    /// Discovery answers nobody.
    Outage,
    /// Some sidecars of the first tier are killed; they start anew, knowing nothing, at the end.
    SidecarDown,
    /// Some servers drain, and come back without a restart.
    Drain,
}

/// One trouble on the timeline.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// Its kind.
    pub what: What,
    /// When it begins.
    pub at: Lengths,
    /// How long it lasts.
    #[serde(rename = "for")]
    pub length: Lengths,
    /// The tier that it strikes, from 0.
    #[serde(default)]
    pub tier: usize,
    /// Share of the tier that it strikes (at least one machine).
    #[serde(default = "a_tenth")]
    pub part: Span,
    /// How bad it is; what that means depends on the kind.
    #[serde(default = "whole")]
    pub size: Span,
    /// For a deploy: how long a server drains.
    #[serde(default)]
    pub drain: Lengths,
    /// For a partition: share of the sidecars that are cut off.
    #[serde(default = "whole")]
    pub sidecars: Span,
}

fn a_tenth() -> Span {
    Span::just(0.1)
}

/// Finds wrong figures and says where they stand.
struct Checker<'a>(&'a Text);

impl Checker<'_> {
    fn bad(&self, key: &str, why: impl fmt::Display) -> Fault {
        self.0.fault(key, why)
    }

    fn span(&self, key: &str, span: Span, least: f64, most: f64) -> Result<(), Fault> {
        if span.from.is_nan() || span.to.is_nan() || span.from > span.to {
            return Err(self.bad(key, format!("the range is turned round: {} to {}", span.from, span.to)));
        }
        if !(span.from >= least && span.to <= most) {
            return Err(self.bad(key, format!("must lie between {least} and {most}")));
        }
        Ok(())
    }

    fn lengths(&self, key: &str, span: Lengths) -> Result<(), Fault> {
        match span.from <= span.to {
            true => Ok(()),
            false => Err(self.bad(key, "the range is turned round")),
        }
    }

    fn scenario(&self, s: &Scenario) -> Result<(), Fault> {
        let no = |key: &str, why: &str| Err(self.bad(key, why));
        let many = f64::MAX;
        if s.classes.is_empty() {
            return no("class", "there must be one at least");
        }
        if s.tiers.is_empty() || s.tiers.len() > 4 {
            return no("tier", "there must be one to four");
        }
        if s.length <= s.warm_up {
            return no("length", "must be above warm_up");
        }
        match (s.load.rate, s.load.of_capacity) {
            (Some(rate), None) => self.span("load.rate", Span::just(rate), 1e-6, 1e7)?,
            (None, Some(share)) => self.span("load.of_capacity", share, 1e-6, 100.0)?,
            _ => return no("load", "needs exactly one of rate and of_capacity"),
        }
        self.span("load.quota", s.load.quota, 0.0, 1e9)?;
        self.span("load.swing", Span::just(s.load.swing), 0.0, 1.0)?;
        if s.load.wave.0 == 0 {
            return no("load.wave", "must be above 0");
        }
        self.span("network.jitter", Span::just(s.network.jitter), 0.0, 1.0)?;
        let d = &s.discovery;
        for (key, span) in
            [("notice", d.notice), ("add", d.add), ("silent", d.silent), ("spread", d.spread)]
        {
            self.lengths(&format!("discovery.{key}"), span)?;
        }
        self.span("clients.try_share", s.clients.try_share, 1e-3, 1.0)?;
        self.span("clients.try_varies", Span::just(s.clients.try_varies), 0.0, 0.9)?;
        self.lengths("clients.backoff", s.clients.backoff)?;
        self.span("clients.honour", Span::just(s.clients.honour), 0.0, 1.0)?;
        self.span("clients.impatient", Span::just(s.clients.impatient), 0.0, 1.0)?;
        self.span("rules.fall_multiple", Span::just(s.rules.fall_multiple), 0.1, 1e6)?;
        for (i, c) in s.classes.iter().enumerate() {
            let key = |field: &str| format!("class.{i}.{field}");
            self.span(&key("share"), c.share, 0.0, 1e6)?;
            self.lengths(&key("work"), c.work)?;
            if c.work.from.0 == 0 {
                return no(&key("work"), "must be above 0");
            }
            let least = if c.law == Law::Pareto { 1e-3 } else { 0.0 };
            self.span(&key("cv"), c.cv, least, 100.0)?;
            self.span(&key("noise"), c.noise, 0.0, 10.0)?;
            self.span(&key("worth"), Span::just(c.worth), 1e-9, 1e9)?;
            if c.aim.0 == 0 || c.give_up < c.aim {
                return no(&key("give_up"), "must be no shorter than aim, and aim above 0");
            }
        }
        for (i, t) in s.tenants.iter().enumerate() {
            self.span(&format!("tenant.{i}.share"), Span::just(t.share), 1e-6, 1.0)?;
            self.span(&format!("tenant.{i}.usage"), t.usage, 0.0, 1e3)?;
        }
        for (i, t) in s.tiers.iter().enumerate() {
            let key = |field: &str| format!("tier.{i}.{field}");
            self.span(&key("servers"), t.servers, 1.0, 1e6)?;
            match t.sidecars {
                Some(n) if i == 0 => self.span(&key("sidecars"), n, 1.0, 1e5)?,
                Some(_) => return no(&key("sidecars"), "only the first tier states its sidecars"),
                None if i == 0 => return no(&key("sidecars"), "the first tier must state them"),
                None => {}
            }
            self.span(&key("work"), Span::just(t.work), 1e-6, 1.0)?;
            self.span(&key("calls"), t.calls, 0.0, 50.0)?;
            if t.calls.to > 0.0 && i + 1 == s.tiers.len() {
                return no(&key("calls"), "the last tier calls nobody");
            }
            if t.kinds.is_empty() {
                return no(&key("kind"), "there must be one at least");
            }
            for (j, k) in t.kinds.iter().enumerate() {
                let key = |field: &str| format!("tier.{i}.kind.{j}.{field}");
                self.span(&key("share"), k.share, 0.0, 1e6)?;
                self.span(&key("speed"), k.speed, 1e-6, 1e6)?;
                self.span(&key("speed_cv"), k.speed_cv, 0.0, 2.0)?;
                self.span(&key("slots"), k.slots, 1.0, 1e9)?;
                self.span(&key("queue"), k.queue, 0.0, 1e9)?;
                self.span(&key("thrash"), k.thrash, 0.0, 10.0)?;
                self.span(&key("thrash_at"), k.thrash_at, 0.0, many)?;
                self.span(&key("cold_from"), k.cold_from, 1e-3, 1.0)?;
                self.lengths(&key("cold_for"), k.cold_for)?;
                self.span(&key("error_rate"), k.error_rate, 0.0, 1.0)?;
                if k.cores == 0 {
                    return no(&key("cores"), "must be above 0");
                }
            }
            if let Some(r) = &t.report {
                self.lengths(&key("report.period"), r.period)?;
                self.lengths(&key("report.delay"), r.delay)?;
                self.span(&key("report.noise"), r.noise, 0.0, 2.0)?;
            }
            if let Some(c) = &t.choke {
                self.span(&key("choke.slower"), c.slower, 1.0, 1e3)?;
                self.span(&key("choke.below"), c.below, 0.0, 1.0)?;
                for (name, span) in [("over", c.over), ("rest", c.rest), ("most", c.most)] {
                    self.lengths(&key(&format!("choke.{name}")), span)?;
                }
            }
        }
        for (i, t) in s.troubles.iter().enumerate() {
            let key = |field: &str| format!("trouble.{i}.{field}");
            if t.tier >= s.tiers.len() {
                return no(&key("tier"), "there is no such tier");
            }
            self.lengths(&key("at"), t.at)?;
            self.lengths(&key("for"), t.length)?;
            self.lengths(&key("drain"), t.drain)?;
            self.span(&key("part"), t.part, 0.0, 1.0)?;
            self.span(&key("sidecars"), t.sidecars, 0.0, 1.0)?;
            let (least, most) = match t.what {
                What::FastErrors => (0.0, 1.0),
                What::Deploy => (1e-6, 1.0),
                What::Slow | What::SharedSlow | What::Burst => (1e-3, 1e6),
                _ => (0.0, many),
            };
            self.span(&key("size"), t.size, least, most)?;
        }
        Ok(())
    }
}

impl Scenario {
    /// Reads a scenario from a file.
    pub fn load(path: &Path) -> Result<Scenario, Fault> {
        Scenario::read(&Text::load(path)?)
    }

    /// Reads a scenario from text.
    pub fn read(text: &Text) -> Result<Scenario, Fault> {
        let scenario: Scenario = text.read()?;
        Checker(text).scenario(&scenario)?;
        Ok(scenario)
    }

    /// Reads a scenario from text that stands in no file; `file` names it in faults.
    pub fn parse(file: &str, text: &str) -> Result<Scenario, Fault> {
        Scenario::read(&Text::new(file, text))
    }

    /// A digest of a scenario's text, by which results are kept apart.
    pub fn digest(text: &Text) -> u64 {
        xxh3_64(text.as_str().as_bytes())
    }
}
