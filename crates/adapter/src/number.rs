//! Whole numbers in settings that other programs write, which may spell them with a fraction.

use std::fmt;

use serde::de::{Deserializer, Error, Unexpected, Visitor};

/// Largest whole number up to which all are exact as floating-point numbers.
const MAX_EXACT: f64 = 9_007_199_254_740_992.0;

/// Deserializes a number of at least zero, rounded to a whole one.
pub fn whole<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    let number = deserializer.deserialize_any(Number)?;
    T::try_from(number).map_err(|_| Error::invalid_value(Unexpected::Unsigned(number), &Number))
}

struct Number;

impl Visitor<'_> for Number {
    type Value = u64;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a number of at least zero that is not too large")
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<u64, E> {
        let found = Unexpected::Signed(number);
        u64::try_from(number).map_err(|_| Error::invalid_value(found, &self))
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<u64, E> {
        Ok(number)
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<u64, E> {
        match (0.0..=MAX_EXACT).contains(&number) {
            true => Ok(number.round() as u64),
            false => Err(Error::invalid_value(Unexpected::Float(number), &self)),
        }
    }
}
