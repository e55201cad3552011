//! Values of a scenario: numbers and durations, each fixed or a range from which a seed draws.

use serde::de::{self, Deserialize, Deserializer, SeqAccess, Visitor};
use std::fmt;
use std::time::Duration;

/// A number, or the range from which each seed draws one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ValueRange {
    /// The lower bound.
    pub from: f64,
    /// The upper bound.
    pub to: f64,
}

impl ValueRange {
    /// A range of one value.
    pub const fn single(value: f64) -> ValueRange {
        ValueRange { from: value, to: value }
    }

    /// The value at a fraction of the range, 0 to 1.
    pub fn at(self, share: f64) -> f64 {
        self.from + (self.to - self.from) * share
    }
}

impl Default for ValueRange {
    fn default() -> ValueRange {
        ValueRange::single(0.0)
    }
}

struct ValueRangeVisitor;

impl<'de> Visitor<'de> for ValueRangeVisitor {
    type Value = ValueRange;
    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a number, or a range of two numbers as [least, most]")
    }
    fn visit_f64<E: de::Error>(self, v: f64) -> Result<ValueRange, E> {
        Ok(ValueRange::single(v))
    }
    fn visit_i64<E: de::Error>(self, v: i64) -> Result<ValueRange, E> {
        Ok(ValueRange::single(v as f64))
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<ValueRange, A::Error> {
        pair(&mut seq, &self).map(|(from, to)| ValueRange { from, to })
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

impl<'de> Deserialize<'de> for ValueRange {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<ValueRange, D::Error> {
        d.deserialize_any(ValueRangeVisitor)
    }
}

/// A duration, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct DurationNs(pub u64);

impl DurationNs {
    /// The duration in seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e9
    }

    /// The duration as the standard library's type.
    pub fn duration(self) -> Duration {
        Duration::from_nanos(self.0)
    }
}

struct DurationVisitor;

impl Visitor<'_> for DurationVisitor {
    type Value = DurationNs;
    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a time with its unit, such as \"750ms\", \"2s\" or \"200us\"")
    }
    fn visit_str<E: de::Error>(self, text: &str) -> Result<DurationNs, E> {
        let wrong =
            |why: &dyn fmt::Display| E::custom(format!("{text:?} is not a time with a unit: {why}"));
        let length = humantime::parse_duration(text).map_err(|e| wrong(&e))?;
        u64::try_from(length.as_nanos()).map(DurationNs).map_err(|e| wrong(&e))
    }
}

impl<'de> Deserialize<'de> for DurationNs {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<DurationNs, D::Error> {
        d.deserialize_any(DurationVisitor)
    }
}

/// A duration, or the range from which each draw is made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DurationRange {
    /// The lower bound.
    pub from: DurationNs,
    /// The upper bound.
    pub to: DurationNs,
}

impl DurationRange {
    /// A range of one duration.
    pub const fn single(length: DurationNs) -> DurationRange {
        DurationRange { from: length, to: length }
    }

    /// The duration at a fraction of the range, 0 to 1, in nanoseconds.
    pub fn at(self, share: f64) -> u64 {
        ValueRange { from: self.from.0 as f64, to: self.to.0 as f64 }.at(share) as u64
    }
}

struct DurationRangeVisitor;

impl<'de> Visitor<'de> for DurationRangeVisitor {
    type Value = DurationRange;
    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a time with its unit, such as \"750ms\", or a range of two as [\"1s\", \"2s\"]")
    }
    fn visit_str<E: de::Error>(self, text: &str) -> Result<DurationRange, E> {
        DurationVisitor.visit_str(text).map(DurationRange::single)
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<DurationRange, A::Error> {
        pair(&mut seq, &self).map(|(from, to)| DurationRange { from, to })
    }
}

impl<'de> Deserialize<'de> for DurationRange {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<DurationRange, D::Error> {
        d.deserialize_any(DurationRangeVisitor)
    }
}

pub(super) const fn ms(n: u64) -> DurationNs {
    DurationNs(n * 1_000_000)
}
