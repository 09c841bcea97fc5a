//! A small JSON reader for the bodies that the router sends.

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// `null`, `true` or `false`.
    Word(String),
    /// A number, as it is written.
    Number(String),
    /// A string.
    Text(String),
    /// An array.
    List(Vec<Value>),
    /// An object.
    Table(Vec<(String, Value)>),
}

impl Value {
    /// Returns a field of an object.
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Self::Table(fields) => fields.iter().find(|(n, _)| n == name).map(|(_, v)| v),
            _ => None,
        }
    }

    /// Returns the values of an array; none for anything else.
    pub fn items(&self) -> &[Value] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }

    /// Returns a string; empty for anything else.
    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    /// Returns a whole number; 0 for anything else.
    pub fn number(&self) -> u64 {
        match self {
            Self::Number(text) => text.parse::<f64>().unwrap_or_default() as u64,
            _ => 0,
        }
    }
}

/// Reads a document; `None` if it is malformed.
pub fn parse(bytes: &[u8]) -> Option<Value> {
    let mut at = 0;
    value(bytes, &mut at)
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Value> {
    skip(bytes, at);
    match *bytes.get(*at)? {
        b'{' => table(bytes, at),
        b'[' => list(bytes, at),
        b'"' => text(bytes, at).map(Value::Text),
        _ => {
            let from = *at;
            let ends = |b: &u8| matches!(b, b',' | b'}' | b']') || b.is_ascii_whitespace();
            while bytes.get(*at).is_some_and(|b| !ends(b)) {
                *at += 1;
            }
            let word = std::str::from_utf8(&bytes[from..*at]).ok()?.to_owned();
            let is_word = matches!(word.as_str(), "null" | "true" | "false");
            Some(if is_word { Value::Word(word) } else { Value::Number(word) })
        }
    }
}

fn table(bytes: &[u8], at: &mut usize) -> Option<Value> {
    *at += 1;
    let mut fields = vec![];
    loop {
        skip(bytes, at);
        match *bytes.get(*at)? {
            b'}' => {
                *at += 1;
                return Some(Value::Table(fields));
            }
            b',' => *at += 1,
            _ => {
                let name = text(bytes, at)?;
                skip(bytes, at);
                *at += 1;
                fields.push((name, value(bytes, at)?));
            }
        }
    }
}

fn list(bytes: &[u8], at: &mut usize) -> Option<Value> {
    *at += 1;
    let mut items = vec![];
    loop {
        skip(bytes, at);
        match *bytes.get(*at)? {
            b']' => {
                *at += 1;
                return Some(Value::List(items));
            }
            b',' => *at += 1,
            _ => items.push(value(bytes, at)?),
        }
    }
}

fn text(bytes: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut text = vec![];
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(text).ok();
            }
            b'\\' => {
                // The bodies that are read here hold no other escapes than these.
                text.push(match *bytes.get(*at + 1)? {
                    b'n' => b'\n',
                    b't' => b'\t',
                    other => other,
                });
                *at += 2;
            }
            byte => {
                text.push(byte);
                *at += 1;
            }
        }
    }
}
