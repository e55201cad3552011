//! Scalar values: bare in JSON, strings in the simulator's lines.

use serde::de::{Error, IntoDeserializer};
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::str::FromStr;

/// The text of a scalar value, or why it is not one.
fn scalar_text(value: Value) -> Result<String, String> {
    match value {
        Value::String(text) => Ok(text),
        Value::Null => Err("is missing".to_owned()),
        Value::Array(_) | Value::Object(_) => Err(format!("cannot be read: {value}")),
        scalar => Ok(scalar.to_string()),
    }
}

/// A scalar value, bare or as a string.
pub(crate) struct Scalar<T>(pub T);

impl<'de, T: FromStr> Deserialize<'de> for Scalar<T> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = scalar_text(Value::deserialize(from)?).map_err(D::Error::custom)?;
        text.parse().map(Scalar).map_err(|_| D::Error::custom(format!("cannot be read: {text}")))
    }
}

/// One of the keywords of an enum.
pub(crate) struct Keyword<T>(pub T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Keyword<T> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let Scalar(text) = Scalar::<String>::deserialize(from)?;
        T::deserialize(text.into_deserializer()).map(Keyword)
    }
}

/// A number that must be above 0.
#[derive(Deserialize)]
#[serde(try_from = "Scalar<T>", bound = "T: FromStr + PartialOrd + Default")]
pub(crate) struct Positive<T>(pub T);

impl<T: PartialOrd + Default> TryFrom<Scalar<T>> for Positive<T> {
    type Error = &'static str;

    fn try_from(Scalar(n): Scalar<T>) -> Result<Self, Self::Error> {
        if n > T::default() { Ok(Positive(n)) } else { Err("must be above 0") }
    }
}

/// A finite number that must be 0 or above.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(try_from = "Scalar<f64>")]
pub(crate) struct NonNegative(pub f64);

impl TryFrom<Scalar<f64>> for NonNegative {
    type Error = &'static str;

    fn try_from(Scalar(n): Scalar<f64>) -> Result<Self, Self::Error> {
        if n.is_finite() && n >= 0.0 { Ok(NonNegative(n)) } else { Err("must be 0 or above, and finite") }
    }
}

/// A number between 0 and 1.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(try_from = "Scalar<f64>")]
pub(crate) struct Fraction(pub f64);

impl TryFrom<Scalar<f64>> for Fraction {
    type Error = &'static str;

    fn try_from(Scalar(n): Scalar<f64>) -> Result<Self, Self::Error> {
        if (0.0..=1.0).contains(&n) { Ok(Fraction(n)) } else { Err("must lie between 0 and 1") }
    }
}

/// A list of strings, joined by commas in the simulator's lines.
#[derive(Default, Deserialize)]
#[serde(try_from = "Value")]
pub(crate) struct StringList(pub Vec<String>);

impl TryFrom<Value> for StringList {
    type Error = String;

    fn try_from(value: Value) -> Result<StringList, String> {
        Ok(StringList(match value {
            Value::Null => Vec::new(),
            Value::Array(items) => items.into_iter().map(scalar_text).collect::<Result<_, _>>()?,
            single => scalar_text(single)?.split(',').map(str::to_owned).collect(),
        }))
    }
}
