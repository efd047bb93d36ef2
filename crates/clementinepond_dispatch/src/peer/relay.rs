//! Division of a message's recipients among relays.
//!
//! A VM sends only as many copies of a message as its link carries besides its requests;
//! each recipient of a copy forwards it to its share of the others.

/// Bandwidth of the sender's link for each copy that it sends itself, in megabits per
/// second.
const MBPS_PER_COPY: u32 = 4;
/// Number of copies that any VM sends; keeps the chain of relays short.
const MIN_COPIES: usize = 3;

/// Returns the number of copies of a message that a VM sends itself.
#[must_use]
pub fn direct_copies(link_mbps: u32) -> usize {
    ((link_mbps / MBPS_PER_COPY) as usize).max(MIN_COPIES)
}

/// Divides recipients into at most `copies` groups of consecutive ones, of about the same
/// size.
///
/// The first recipient of a group gets the message and forwards it to the rest.
#[must_use]
pub fn divide_recipients<T>(recipients: Vec<T>, copies: usize) -> Vec<(T, Vec<T>)> {
    let copies = copies.min(recipients.len());
    let mut left = recipients.len();
    let mut recipients = recipients.into_iter();
    let mut groups = Vec::with_capacity(copies);
    for index in 0..copies {
        let size = left.div_ceil(copies - index);
        left -= size;
        if let Some(relay) = recipients.next() {
            groups.push((relay, recipients.by_ref().take(size - 1).collect()));
        }
    }
    groups
}
