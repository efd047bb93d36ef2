//! Position of a stream of server-sent events relative to the ends of its events.

/// Kind of the line that a stream is in.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum LineKind {
    /// No byte of the line has arrived.
    #[default]
    Empty,
    /// The line starts with a colon; it belongs to no event.
    Comment,
    /// The line is a field of an event.
    Field,
}

/// Scanner for the ends of events; lines end with LF, CR or both.
#[derive(Debug, Default)]
pub struct EventScanner {
    line: LineKind,
    /// Whether the last byte was a CR, so that an LF belongs to the same line end.
    after_cr: bool,
    /// Whether the incomplete event has a complete field.
    has_field: bool,
    /// Number of bytes after the last complete event.
    open_bytes: usize,
}

impl EventScanner {
    /// Scans the next bytes; returns the length of their part up to the last end of an
    /// event, or `None` if no event ends in them.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (index, byte) in bytes.iter().enumerate() {
            self.open_bytes += 1;
            let completes_crlf = *byte == b'\n' && self.after_cr;
            self.after_cr = *byte == b'\r';
            let ends_event = match byte {
                // The CR before has ended the line already.
                b'\n' if completes_crlf => self.open_bytes == 1,
                b'\n' | b'\r' => self.end_line(),
                _ => {
                    self.extend_line(*byte);
                    false
                }
            };
            if ends_event {
                self.has_field = false;
                self.open_bytes = 0;
                end = Some(index + 1);
            }
        }
        end
    }

    /// Returns the number of bytes of the event that is not complete, 0 if none has begun.
    #[must_use]
    pub const fn open_event_bytes(&self) -> usize {
        if self.has_field || !matches!(self.line, LineKind::Empty) {
            self.open_bytes
        } else {
            0
        }
    }

    /// Ends a line; returns whether it was blank, which ends an event.
    fn end_line(&mut self) -> bool {
        let line = std::mem::take(&mut self.line);
        self.has_field |= line == LineKind::Field;
        line == LineKind::Empty
    }

    const fn extend_line(&mut self, byte: u8) {
        if matches!(self.line, LineKind::Empty) {
            self.line = if byte == b':' {
                LineKind::Comment
            } else {
                LineKind::Field
            };
        }
    }
}
