//! Figures of a scenario: numbers and lengths of time, each alone or as a range from which a seed draws.

use serde::de::{self, Deserialize, Deserializer, SeqAccess, Visitor};
use std::fmt;
use std::time::Duration;

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

pub(super) const fn ms(n: u64) -> Length {
    Length(n * 1_000_000)
}
