//! Secret keys that callers present.

use std::fmt;
use std::hash::{Hash, Hasher};

/// Secret key of a client account.
///
/// Its text appears neither in `Debug` output nor in any serialised form.
#[derive(Clone)]
pub struct ApiKey(Box<[u8]>);

impl ApiKey {
    /// Stores a key.
    #[must_use]
    pub fn new(text: &[u8]) -> Self {
        Self(text.into())
    }

    /// Returns the length of the key, in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the key has no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(redacted)")
    }
}

impl PartialEq for ApiKey {
    /// Compares in a time that depends only on the lengths, so that timing tells nothing about a key.
    fn eq(&self, other: &Self) -> bool {
        let differing_bits =
            self.0.iter().zip(&*other.0).fold(0, |bits, (left, right)| bits | (left ^ right));
        self.0.len() == other.0.len() && std::hint::black_box(differing_bits) == 0
    }
}

impl Eq for ApiKey {}

impl Hash for ApiKey {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

/// What a call carries to identify its caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// Nothing.
    #[default]
    Absent,
    /// Something that is not exactly one well-formed key.
    Malformed,
    /// A key, which may belong to no account.
    Key(ApiKey),
}
