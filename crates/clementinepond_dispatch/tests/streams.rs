//! Ends of events in a stream, and ends of a stream.

use clementinepond_dispatch::stream::EventScanner;

/// Scans pieces; returns the scanner and the number of bytes in complete events.
fn scan(pieces: &[&str]) -> (EventScanner, usize) {
    let mut scanner = EventScanner::default();
    let (mut complete, mut total) = (0, 0);
    for piece in pieces {
        if let Some(end) = scanner.scan(piece.as_bytes()) {
            complete = total + end;
        }
        total += piece.len();
    }
    (scanner, complete)
}

#[test]
fn events_end_at_blank_lines_of_any_line_ending_in_any_pieces() {
    for line_end in ["\n", "\r\n", "\r"] {
        let event = format!("id: 1{line_end}data: a{line_end}{line_end}");
        let text = format!("{event}id: 2{line_end}");
        for cut in 0..=text.len() {
            let (scanner, complete) = scan(&[&text[..cut], &text[cut..]]);
            assert_eq!(complete, event.len(), "{text:?} cut at {cut}");
            assert_eq!(scanner.open_event_bytes(), text.len() - event.len());
        }
    }
}

#[test]
fn every_byte_of_an_event_but_the_last_leaves_it_incomplete() {
    let event = "id: 7\ndata: piece\n\n";
    for cut in 1..event.len() {
        let (scanner, _) = scan(&[event, &event[..cut]]);
        assert_eq!(scanner.open_event_bytes(), cut);
    }
    assert_eq!(scan(&[event, event]).0.open_event_bytes(), 0);
}

#[test]
fn comment_lines_between_events_begin_none() {
    let (scanner, _) = scan(&["data: a\n\n: keep-alive\n"]);
    assert_eq!(scanner.open_event_bytes(), 0);
}
