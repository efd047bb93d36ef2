//! Validated names.
//!
//! A name has 1 to 128 characters, which are ASCII letters, digits and
//! `. _ : / -`. It can thus appear in log lines, paths and header values
//! without escaping.

use derive_more::{AsRef, Display, Error};
use serde::{Deserialize, Serialize};
use std::str::FromStr;

/// Maximum length of a name in bytes.
const NAME_LENGTH_LIMIT: usize = 128;

/// Error for a text that is not a valid name.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum NameError {
    /// The name is empty.
    #[display("name is empty; give it at least one character")]
    Empty,
    /// The name is too long.
    #[display("name has {length} bytes; shorten it to {NAME_LENGTH_LIMIT} or fewer")]
    TooLong {
        /// Length of the name in bytes.
        length: usize,
    },
    /// The name contains a character that is not allowed.
    #[display("name contains {found:?}; use only letters, digits and the characters . _ : / -")]
    Character {
        /// First character that is not allowed.
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
    /// Name of a VM.
    VmId,
    /// Name of a data centre.
    DataCentreId,
    /// Name of a client account.
    AccountId,
    /// Name of an endpoint, which is a model engine or a plain service.
    EndpointId,
    /// Name of a model.
    ModelId,
    /// Name of an adapter.
    AdapterId,
    /// Name of a route to plain services.
    RouteName,
    /// Identifier that the system assigns to a request.
    RequestId,
}
