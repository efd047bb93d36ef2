//! Client of the platform's object API, as docs/PLATFORM.md writes it down.

mod client;
mod object;
mod reply;
mod work;

pub(crate) use client::{PlatformClient, PlatformError};
pub(crate) use work::PlatformWorker;
