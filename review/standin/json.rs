//! Parses the few JSON documents that the entries send.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Map(BTreeMap<String, Value>),
}

impl Value {
    /// Returns the member `name` of a map, or null.
    pub fn get(&self, name: &str) -> &Value {
        match self {
            Value::Map(members) => members.get(name).unwrap_or(&Value::Null),
            _ => &Value::Null,
        }
    }

    /// Returns the elements of a list; none for other values.
    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(values) => values,
            _ => &[],
        }
    }

    /// Returns a text; empty for other values.
    pub fn text(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }

    /// Returns a whole number; zero for other values.
    pub fn number(&self) -> u64 {
        match self {
            Value::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

/// Parses a document. Returns null if it is malformed.
pub fn parse(text: &[u8]) -> Value {
    Parser { text, at: 0 }.value().unwrap_or(Value::Null)
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.text.get(self.at).copied()
    }

    fn take(&mut self, expected: u8) -> Option<()> {
        let found = self.peek()? == expected;
        self.at += usize::from(found);
        found.then_some(())
    }

    fn value(&mut self) -> Option<Value> {
        match self.peek()? {
            b'{' => self.map(),
            b'[' => self.elements(),
            b'"' => self.string().map(Value::Text),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'n' => self.word("null", Value::Null),
            _ => self.digits(),
        }
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        self.at += word.len();
        Some(value)
    }

    fn digits(&mut self) -> Option<Value> {
        let start = self.at;
        while self.text.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.text[start..self.at]).ok()?;
        text.parse().ok().map(Value::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = vec![];
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    bytes.push(*self.text.get(self.at)?);
                    self.at += 1;
                }
                other => bytes.push(other),
            }
        }
    }

    fn elements(&mut self) -> Option<Value> {
        self.take(b'[')?;
        let mut values = vec![];
        while self.peek()? != b']' {
            values.push(self.value()?);
            if self.peek()? == b',' {
                self.at += 1;
            }
        }
        self.take(b']')?;
        Some(Value::List(values))
    }

    fn map(&mut self) -> Option<Value> {
        self.take(b'{')?;
        let mut members = BTreeMap::new();
        while self.peek()? != b'}' {
            let name = self.string()?;
            self.take(b':')?;
            members.insert(name, self.value()?);
            if self.peek()? == b',' {
                self.at += 1;
            }
        }
        self.take(b'}')?;
        Some(Value::Map(members))
    }
}
