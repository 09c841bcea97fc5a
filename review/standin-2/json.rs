//! A small JSON reader, for the bodies of calls to the store and orders to engines.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a document; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    /// Returns a field of an object, or null.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    /// Returns the elements of a list; empty for other values.
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    /// Returns the text; empty for other values.
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    /// Returns a whole number; 0 for other values.
    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

fn space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn expect(bytes: &[u8], at: &mut usize, byte: u8) -> Option<()> {
    space(bytes, at);
    (bytes.get(*at) == Some(&byte)).then(|| *at += 1)
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => object(bytes, at),
        b'[' => list(bytes, at),
        b'"' => string(bytes, at).map(Json::Text),
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'n' => word(bytes, at, "null", Json::Null),
        _ => number(bytes, at),
    }
}

fn word(bytes: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    bytes[*at..].starts_with(word.as_bytes()).then(|| *at += word.len())?;
    Some(value)
}

fn number(bytes: &[u8], at: &mut usize) -> Option<Json> {
    let from = *at;
    while bytes.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
        *at += 1;
    }
    let text = std::str::from_utf8(&bytes[from..*at]).ok()?;
    text.parse().ok().map(Json::Number)
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    expect(bytes, at, b'"')?;
    let mut out = vec![];
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let code = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let c = char::from_u32(u32::from_str_radix(code, 16).ok()?)?;
                        out.extend(c.to_string().bytes());
                    }
                    other => out.push(other),
                }
            }
            other => out.push(other),
        }
    }
}

fn list(bytes: &[u8], at: &mut usize) -> Option<Json> {
    expect(bytes, at, b'[')?;
    let mut all = vec![];
    if expect(bytes, at, b']').is_some() {
        return Some(Json::List(all));
    }
    loop {
        all.push(value(bytes, at)?);
        if expect(bytes, at, b']').is_some() {
            return Some(Json::List(all));
        }
        expect(bytes, at, b',')?;
    }
}

fn object(bytes: &[u8], at: &mut usize) -> Option<Json> {
    expect(bytes, at, b'{')?;
    let mut fields = BTreeMap::new();
    if expect(bytes, at, b'}').is_some() {
        return Some(Json::Object(fields));
    }
    loop {
        space(bytes, at);
        let name = string(bytes, at)?;
        expect(bytes, at, b':')?;
        fields.insert(name, value(bytes, at)?);
        if expect(bytes, at, b'}').is_some() {
            return Some(Json::Object(fields));
        }
        expect(bytes, at, b',')?;
    }
}
