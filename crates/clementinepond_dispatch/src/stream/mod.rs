//! Streams of events: their framing, the ends of their events, and the endpoints' software
//! that began them.

mod body_framing;
mod event_scanner;
mod stream_origin;

pub use body_framing::BodyFraming;
pub use event_scanner::EventScanner;
pub use stream_origin::{OriginTable, StreamKey, StreamOrigin};
