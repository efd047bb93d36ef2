//! Checked names.
//!
//! A name is 1 to 128 characters of letters, digits and `. _ : / -`, which
//! keeps it safe in a log line, a path segment and a header value.

use derive_more::{AsRef, Display, Error};
use serde::{Deserialize, Serialize};
use std::str::FromStr;

/// Longest accepted name, in bytes.
const NAME_LENGTH_LIMIT: usize = 128;

/// Reason for which a name was refused.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum NameError {
    /// The name is empty.
    #[display("name is empty; give it at least one character")]
    Empty,
    /// The name is too long.
    #[display("name has {length} bytes; shorten it to {NAME_LENGTH_LIMIT} or fewer")]
    TooLong {
        /// Length found, in bytes.
        length: usize,
    },
    /// The name holds a character that is not allowed.
    #[display("name holds {found:?}; use only letters, digits and the characters . _ : / -")]
    Character {
        /// First offending character.
        found: char,
    },
}

fn check(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > NAME_LENGTH_LIMIT {
        return Err(NameError::TooLong { length: text.len() });
    }
    match text.chars().find(|&c| !is_allowed(c)) {
        Some(found) => Err(NameError::Character { found }),
        None => Ok(()),
    }
}

fn is_allowed(character: char) -> bool {
    character.is_ascii_alphanumeric() || matches!(character, '.' | '_' | ':' | '/' | '-')
}

macro_rules! checked_name {
    ($(#[$doc:meta] $name:ident),+ $(,)?) => {$(
        #[$doc]
        #[derive(
            Debug, Display, AsRef, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(try_from = "Box<str>", into = "Box<str>")]
        #[as_ref(str)]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<Box<str>> for $name {
            type Error = NameError;

            fn try_from(text: Box<str>) -> Result<Self, NameError> {
                check(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for Box<str> {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    )+};
}

checked_name! {
    /// Name of one entry VM.
    VmId,
    /// Name of one data centre.
    DataCentreId,
    /// Name of one client account.
    AccountId,
    /// Name of one endpoint: a model engine or a plain service.
    EndpointId,
    /// Name of one model.
    ModelId,
    /// Name of one adapter.
    AdapterId,
    /// Name of one route to a plain service.
    RouteName,
    /// Identifier that the system gives to one request.
    RequestId,
}
