//! Parsing and printing of names, quantities and times.

use clementinepond_types::{AccountId, KeyDigest, TimeSpan, TokenCount, TokenRate, VmId};

#[test]
fn quantities_round_trip_through_text() {
    for text in ["0tok", "8192tok", "0.5tok", "1.000001tok"] {
        let count: TokenCount = text.parse().unwrap();
        assert_eq!(count.to_string(), text);
    }
    let rate: TokenRate = "1200tok/s".parse().unwrap();
    assert_eq!(rate.to_string(), "1200tok/s");
    for text in ["300ms", "2s", "7us"] {
        let span: TimeSpan = text.parse().unwrap();
        assert_eq!(span.to_string(), text);
    }
    assert_eq!("2min".parse(), Ok(TimeSpan::from_secs(120)));
}

#[test]
fn malformed_text_is_refused() {
    for text in ["", "-1tok", "1.0000001tok", "+3", "tok"] {
        assert!(text.parse::<TokenCount>().is_err(), "{text:?}");
    }
    for text in ["", "5", "s", "1.5s", "-1s", "99999999999999999999s"] {
        assert!(text.parse::<TimeSpan>().is_err(), "{text:?}");
    }
    for text in ["", "a b", "é", "x\n"] {
        assert!(text.parse::<AccountId>().is_err(), "{text:?}");
    }
    assert!("g".repeat(64).parse::<KeyDigest>().is_err());
    assert!("é".repeat(32).parse::<KeyDigest>().is_err());
}

#[test]
fn accrual_rounds_down_and_wait_rounds_up() {
    let rate = TokenRate::from_micro(3);
    assert_eq!(rate.accrue(TimeSpan::from_micros(999_999)).micro(), 2);
    let wait = rate.time_for(TokenCount::from_micro(1)).unwrap();
    assert!(rate.accrue(wait) >= TokenCount::from_micro(1));
}

#[test]
fn names_are_checked_when_deserialized() {
    assert!(serde_json::from_str::<VmId>("\"vm-1\"").is_ok());
    let error = serde_json::from_str::<VmId>("\"vm 1\"").unwrap_err();
    assert!(error.to_string().contains("use only letters"));
}
