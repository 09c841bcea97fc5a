//! Quantities that settings and contracts write with their units.

use std::fmt;
use std::str::FromStr;

use oriole_macros::failure;
use serde::de::{Unexpected, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

/// A rate, written with its unit (`s`, `min` or `h`), such as `"20/s"`, `"90/min"` or `"0.5/s"`.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String")]
pub struct Rate {
    per_second: f64,
}

impl Rate {
    /// Creates a rate of `per_second` per second; negative and non-finite values become 0.
    pub fn from_per_second(per_second: f64) -> Self {
        let valid = per_second.is_finite() && per_second > 0.0;
        Self { per_second: if valid { per_second } else { 0.0 } }
    }

    /// Returns the rate per second.
    pub fn per_second(self) -> f64 {
        self.per_second
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.per_second)
    }
}

impl From<Rate> for String {
    fn from(rate: Rate) -> Self {
        rate.to_string()
    }
}

/// A text that is not a rate.
#[failure]
#[display("found {found:?}, expected a number and a unit such as \"20/s\" or \"90/min\"")]
pub struct RateError {
    /// The text that was found.
    #[error(not(source))]
    pub found: String,
}

impl FromStr for Rate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        let fail = || RateError { found: text.to_owned() };
        let (number, unit) = text.split_once('/').ok_or_else(fail)?;
        let number: f64 = number.trim().parse().map_err(|_| fail())?;
        let seconds = match unit.trim() {
            "s" => 1.0,
            "min" => 60.0,
            "h" => 3600.0,
            _ => return Err(fail()),
        };
        if !number.is_finite() || number < 0.0 {
            return Err(fail());
        }
        Ok(Self { per_second: number / seconds })
    }
}

impl<'de> Deserialize<'de> for Rate {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let expected = "a number and a unit such as \"20/s\" or \"90/min\"";
        deserializer.deserialize_str(TextVisitor { expected, parse: |text| text.parse().ok() })
    }
}

/// Parses a value from a string, and reports `expected` if the input is anything else.
struct TextVisitor<T> {
    expected: &'static str,
    parse: fn(&str) -> Option<T>,
}

impl<T> Visitor<'_> for TextVisitor<T> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.expected)
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<T, E> {
        (self.parse)(text).ok_or_else(|| E::invalid_value(Unexpected::Str(text), &self))
    }
}

/// Serde functions for durations with a unit, such as `"20s"` or `"250ms"`.
pub mod duration {
    use std::time::Duration;

    use serde::{Deserializer, Serializer};

    use super::TextVisitor;

    /// Serializes a duration with its unit.
    pub fn serialize<S: Serializer>(value: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&humantime::format_duration(*value))
    }

    /// Deserializes a duration. The unit is required.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let expected = "a number and a unit such as \"20s\" or \"250ms\"";
        let parse = |text: &str| humantime::parse_duration(text).ok();
        deserializer.deserialize_str(TextVisitor { expected, parse })
    }
}
