//! Ends of relayed bodies.

use super::{AnswerBody, BodyPart};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use tokio::sync::mpsc;

/// Reads the body of a relay that sends the parts and goes away; returns its data, and
/// whether the end was reached without an error.
async fn read(parts: Vec<BodyPart>) -> (Vec<u8>, bool) {
    let (sender, receiver) = mpsc::channel(parts.len().max(1));
    for part in parts {
        sender.try_send(part).ok();
    }
    drop(sender);
    let mut body = AnswerBody::relayed(receiver);
    let mut data = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => data.extend_from_slice(frame.data_ref().map_or(&[], |bytes| bytes)),
            Err(_) => return (data, false),
        }
    }
    (data, true)
}

#[tokio::test]
async fn body_whose_relay_goes_away_is_broken() {
    let data = || BodyPart::Data(Bytes::from_static(b"piece"));
    assert_eq!(read(vec![data()]).await, (b"piece".to_vec(), false));
    assert_eq!(read(Vec::new()).await, (Vec::new(), false));
    assert_eq!(
        read(vec![data(), BodyPart::End]).await,
        (b"piece".to_vec(), true)
    );
}

#[test]
fn data_before_a_break_may_be_written_before_the_error() {
    let (sender, receiver) = mpsc::channel(1);
    sender
        .try_send(BodyPart::Data(Bytes::from_static(b"piece")))
        .unwrap();
    drop(sender);
    let mut body = AnswerBody::relayed(receiver);
    let mut context = Context::from_waker(Waker::noop());
    let mut poll = || Pin::new(&mut body).poll_frame(&mut context);
    assert!(matches!(poll(), Poll::Ready(Some(Ok(_)))));
    assert!(poll().is_pending());
    assert!(matches!(poll(), Poll::Ready(Some(Err(_)))));
}
