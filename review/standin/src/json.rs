//! A small JSON value. Numbers keep their text, so that 64-bit numbers survive.

use std::{collections::BTreeMap, fmt};

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    Arr(Vec<Json>),
    Obj(BTreeMap<String, Json>),
    /// JSON text as another writer has written it.
    Raw(String),
}

impl Json {
    pub fn obj<const N: usize>(fields: [(&str, Json); N]) -> Json {
        Json::Obj(
            fields
                .into_iter()
                .map(|(k, v)| (k.to_string(), v))
                .collect(),
        )
    }

    pub fn str(text: impl Into<String>) -> Json {
        Json::Str(text.into())
    }

    pub fn num(value: impl fmt::Display) -> Json {
        Json::Num(value.to_string())
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Obj(map) => map.get(key),
            _ => None,
        }
    }

    pub fn u64(&self) -> Option<u64> {
        match self {
            Json::Num(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Str(text) => Some(text),
            _ => None,
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser {
            rest: text.as_bytes(),
        };
        let value = parser.value()?;
        parser.space();
        parser.rest.is_empty().then_some(value)
    }
}

struct Parser<'a> {
    rest: &'a [u8],
}

impl Parser<'_> {
    fn space(&mut self) {
        while let [b' ' | b'\n' | b'\r' | b'\t', rest @ ..] = self.rest {
            self.rest = rest;
        }
    }

    fn eat(&mut self, token: &[u8]) -> Option<()> {
        self.rest = self.rest.strip_prefix(token)?;
        Some(())
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.rest.first()? {
            b'n' => self.eat(b"null").map(|()| Json::Null),
            b't' => self.eat(b"true").map(|()| Json::Bool(true)),
            b'f' => self.eat(b"false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Str),
            b'[' => self.array(),
            b'{' => self.object(),
            _ => {
                let is_number = |b: &u8| b.is_ascii_digit() || b"+-.eE".contains(b);
                let end = self.rest.iter().take_while(|b| is_number(b)).count();
                let (number, rest) = self.rest.split_at(end);
                self.rest = rest;
                (end > 0).then(|| Json::Num(String::from_utf8_lossy(number).into()))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.eat(b"\"")?;
        let mut out = Vec::new();
        loop {
            let (&byte, rest) = self.rest.split_first()?;
            self.rest = rest;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let (&byte, rest) = self.rest.split_first()?;
                    self.rest = rest;
                    match byte {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'u' => {
                            let hex = std::str::from_utf8(self.rest.get(..4)?).ok()?;
                            let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                            self.rest = &self.rest[4..];
                            out.extend(c.to_string().bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }

    fn array(&mut self) -> Option<Json> {
        self.eat(b"[")?;
        let mut items = Vec::new();
        self.space();
        if self.eat(b"]").is_some() {
            return Some(Json::Arr(items));
        }
        loop {
            items.push(self.value()?);
            self.space();
            if self.eat(b"]").is_some() {
                return Some(Json::Arr(items));
            }
            self.eat(b",")?;
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.eat(b"{")?;
        let mut map = BTreeMap::new();
        self.space();
        if self.eat(b"}").is_some() {
            return Some(Json::Obj(map));
        }
        loop {
            self.space();
            let key = self.string()?;
            self.space();
            self.eat(b":")?;
            map.insert(key, self.value()?);
            self.space();
            if self.eat(b"}").is_some() {
                return Some(Json::Obj(map));
            }
            self.eat(b",")?;
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Num(text) | Json::Raw(text) => f.write_str(text),
            Json::Str(text) => write_string(f, text),
            Json::Arr(items) => {
                f.write_str("[")?;
                for (i, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if i > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Json::Obj(map) => {
                f.write_str("{")?;
                for (i, (key, value)) in map.iter().enumerate() {
                    f.write_str(if i > 0 { "," } else { "" })?;
                    write_string(f, key)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_string(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_str("\"")?;
    for c in text.chars() {
        match c {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            c if (c as u32) < 0x20 => write!(f, "\\u{:04x}", c as u32)?,
            c => write!(f, "{c}")?,
        }
    }
    f.write_str("\"")
}
