//! Plain values: bare in JSON, words in the simulator's lines.

use serde::de::{Error, IntoDeserializer};
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::str::FromStr;

/// The word that a plain value is, or why it is none.
fn word(value: Value) -> Result<String, String> {
    match value {
        Value::String(text) => Ok(text),
        Value::Null => Err("is missing".to_owned()),
        Value::Array(_) | Value::Object(_) => Err(format!("cannot be read: {value}")),
        plain => Ok(plain.to_string()),
    }
}

/// A plain value, bare or as a word.
pub(crate) struct Plain<T>(pub T);

impl<'de, T: FromStr> Deserialize<'de> for Plain<T> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = word(Value::deserialize(from)?).map_err(D::Error::custom)?;
        text.parse().map(Plain).map_err(|_| D::Error::custom(format!("cannot be read: {text}")))
    }
}

/// One of the words that a type knows.
pub(crate) struct Word<T>(pub T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Word<T> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let Plain(text) = Plain::<String>::deserialize(from)?;
        T::deserialize(text.into_deserializer()).map(Word)
    }
}

/// A number that must be above 0.
#[derive(Deserialize)]
#[serde(try_from = "Plain<T>", bound = "T: FromStr + PartialOrd + Default")]
pub(crate) struct AboveZero<T>(pub T);

impl<T: PartialOrd + Default> TryFrom<Plain<T>> for AboveZero<T> {
    type Error = &'static str;

    fn try_from(Plain(n): Plain<T>) -> Result<Self, Self::Error> {
        if n > T::default() { Ok(AboveZero(n)) } else { Err("must be above 0") }
    }
}

/// A number that is counted in: 0 or above, and finite.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(try_from = "Plain<f64>")]
pub(crate) struct Amount(pub f64);

impl TryFrom<Plain<f64>> for Amount {
    type Error = &'static str;

    fn try_from(Plain(n): Plain<f64>) -> Result<Self, Self::Error> {
        if n.is_finite() && n >= 0.0 { Ok(Amount(n)) } else { Err("must be 0 or above, and finite") }
    }
}

/// A part of a whole.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(try_from = "Plain<f64>")]
pub(crate) struct Fraction(pub f64);

impl TryFrom<Plain<f64>> for Fraction {
    type Error = &'static str;

    fn try_from(Plain(n): Plain<f64>) -> Result<Self, Self::Error> {
        if (0.0..=1.0).contains(&n) { Ok(Fraction(n)) } else { Err("must lie between 0 and 1") }
    }
}

/// A list of words, which the simulator's lines join with commas.
#[derive(Default, Deserialize)]
#[serde(try_from = "Value")]
pub(crate) struct Words(pub Vec<String>);

impl TryFrom<Value> for Words {
    type Error = String;

    fn try_from(value: Value) -> Result<Words, String> {
        Ok(Words(match value {
            Value::Null => Vec::new(),
            Value::Array(items) => items.into_iter().map(word).collect::<Result<_, _>>()?,
            one => word(one)?.split(',').map(str::to_owned).collect(),
        }))
    }
}
