//! Streams of events: their framing and the ends of their events.

mod body_framing;
mod event_scanner;

pub use body_framing::BodyFraming;
pub use event_scanner::EventScanner;
