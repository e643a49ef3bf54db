//! Splits JSON documents into values that are decoded one by one, so that a value that cannot be
//! read hides no other one.
//!
//! `serde_json::value::RawValue` is too strict for this: it rejects the whole document for bytes
//! that are not UTF-8, control characters, cut escapes and numbers such as `Infinity`, which other
//! writers of the store may produce. A [`Raw`] is delimited by quotes, brackets and commas only. The
//! scan uses no recursion, so that no nesting exhausts the stack.

use serde::de::DeserializeOwned;

/// Why a value could not be split.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SplitError {
    /// The value is not an object.
    NotObject,
    /// The value is not an array.
    NotArray,
    /// The document ends within the value.
    Incomplete,
    /// Something else than the expected quote, colon, comma or bracket.
    Unexpected,
}

impl std::fmt::Display for SplitError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::NotObject => "not an object",
            Self::NotArray => "not an array",
            Self::Incomplete => "the document ends too early",
            Self::Unexpected => "a delimiter is missing",
        })
    }
}

impl std::error::Error for SplitError {}

/// The bytes of one JSON value, which may be impossible to decode.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Raw<'a>(&'a [u8]);

impl<'a> Raw<'a> {
    /// Wraps a document.
    pub fn new(document: &'a [u8]) -> Self {
        Self(document.trim_ascii())
    }

    /// The bytes of the value.
    pub fn bytes(self) -> &'a [u8] {
        self.0
    }

    /// Decodes the value.
    ///
    /// # Errors
    /// Why it cannot be decoded.
    pub fn decode<T: DeserializeOwned>(self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(self.0)
    }

    /// The elements of an array.
    ///
    /// # Errors
    /// [`SplitError`] if the value is no array, or its elements cannot be delimited.
    pub fn elements(self) -> Result<Vec<Self>, SplitError> {
        let mut rest = self.0.strip_prefix(b"[").ok_or(SplitError::NotArray)?;
        let mut elements = Vec::new();
        if let Some(after) = rest.trim_ascii_start().strip_prefix(b"]") {
            return check_end(after).map(|()| elements);
        }
        loop {
            let (value, after) = split_value(rest)?;
            elements.push(value);
            match after.split_first() {
                Some((b',', after)) => rest = after,
                Some((b']', after)) => return check_end(after).map(|()| elements),
                Some(_) => return Err(SplitError::Unexpected),
                None => return Err(SplitError::Incomplete),
            }
        }
    }

    /// The fields of an object. A name is the text between its quotes, with its escapes.
    ///
    /// # Errors
    /// [`SplitError`] if the value is no object, or its fields cannot be delimited.
    pub fn fields(self) -> Result<Vec<(Self, Self)>, SplitError> {
        let mut rest = self.0.strip_prefix(b"{").ok_or(SplitError::NotObject)?;
        let mut fields = Vec::new();
        if let Some(after) = rest.trim_ascii_start().strip_prefix(b"}") {
            return check_end(after).map(|()| fields);
        }
        loop {
            let (name, after) = split_value(rest)?;
            let after = after.strip_prefix(b":").ok_or(SplitError::Unexpected)?;
            let (value, after) = split_value(after)?;
            fields.push((name, value));
            match after.split_first() {
                Some((b',', after)) => rest = after,
                Some((b'}', after)) => return check_end(after).map(|()| fields),
                Some(_) => return Err(SplitError::Unexpected),
                None => return Err(SplitError::Incomplete),
            }
        }
    }

    /// The value of an object's field; the last one if there are several, as JSON decoders have it.
    pub fn get(self, name: &str) -> Option<Self> {
        let fields = self.fields().ok()?;
        let mut fields = fields.into_iter().rev();
        fields
            .find(|(found, _)| found.is_name(name))
            .map(|(_, value)| value)
    }

    /// The document of an object without one of its fields.
    ///
    /// # Errors
    /// As [`Raw::fields`].
    pub fn without(self, name: &str) -> Result<Vec<u8>, SplitError> {
        let kept = self.fields()?;
        let kept = kept.iter().filter(|(found, _)| !found.is_name(name));
        let kept: Vec<Vec<u8>> = kept
            .map(|(name, value)| [name.0, b":", value.0].concat())
            .collect();
        Ok([b"{", kept.join(&b","[..]).as_slice(), b"}"].concat())
    }

    fn is_name(self, name: &str) -> bool {
        let quoted = self.0.strip_prefix(b"\"");
        let text = quoted.and_then(|rest| rest.strip_suffix(b"\""));
        match text {
            Some(text) if text.contains(&b'\\') => {
                self.decode::<String>().is_ok_and(|found| found == name)
            }
            Some(text) => text == name.as_bytes(),
            None => false,
        }
    }
}

fn check_end(rest: &[u8]) -> Result<(), SplitError> {
    match rest.trim_ascii().is_empty() {
        true => Ok(()),
        false => Err(SplitError::Unexpected),
    }
}

/// Splits the first value off, and the white space around it.
fn split_value(document: &[u8]) -> Result<(Raw<'_>, &[u8]), SplitError> {
    let document = document.trim_ascii_start();
    let length = match document.first() {
        None => return Err(SplitError::Incomplete),
        Some(b'"') => text_length(document)?,
        Some(b'{' | b'[') => nested_length(document)?,
        Some(_) => {
            let is_delimiter = |byte: &u8| b",:]}".contains(byte) || byte.is_ascii_whitespace();
            let end = document.iter().position(is_delimiter);
            end.ok_or(SplitError::Incomplete)?
        }
    };
    if length == 0 {
        return Err(SplitError::Unexpected);
    }
    let (value, rest) = document.split_at(length);
    Ok((Raw(value), rest.trim_ascii_start()))
}

/// Length of the text that the document begins with, with its quotes.
fn text_length(document: &[u8]) -> Result<usize, SplitError> {
    let mut at = 1;
    loop {
        match document.get(at) {
            None => return Err(SplitError::Incomplete),
            Some(b'"') => return Ok(at + 1),
            Some(b'\\') => at += 2,
            Some(_) => at += 1,
        }
    }
}

/// Length of the array or object that the document begins with.
fn nested_length(document: &[u8]) -> Result<usize, SplitError> {
    let mut at = 0;
    let mut depth = 0_usize;
    loop {
        match document.get(at) {
            None => return Err(SplitError::Incomplete),
            Some(b'"') => at += text_length(&document[at..])?,
            Some(b'{' | b'[') => {
                depth += 1;
                at += 1;
            }
            Some(b'}' | b']') => {
                depth -= 1;
                at += 1;
                if depth == 0 {
                    return Ok(at);
                }
            }
            Some(_) => at += 1,
        }
    }
}
