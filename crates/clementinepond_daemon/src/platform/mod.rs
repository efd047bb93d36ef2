//! Client of the platform's object API, specified in docs/PLATFORM.md.

mod client;
mod object;
mod reply;
mod work;

pub(crate) use client::{PlatformClient, PlatformError};
pub(crate) use work::PlatformWorker;
