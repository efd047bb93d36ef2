//! Answers of the system's own.

use super::answer_body::AnswerBody;
use clementinepond_platform::write_refusal_headers;
use clementinepond_types::{RequestId, TimeSpan};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};

/// Why the system answers a request itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LocalAnswer {
    /// No route leads there.
    NoRoute,
    /// The key is missing or unknown.
    BadKey,
    /// The request is malformed.
    BadRequest(&'static str),
    /// The body is too large.
    TooLarge,
    /// The account is over its quota.
    OverQuota(TimeSpan),
    /// Not run; there is no capacity now.
    NotRun(&'static str, TimeSpan),
    /// It may have run, and the answer is lost.
    Lost(&'static str),
    /// It may have run, and the time is over.
    TimedOut,
}

impl LocalAnswer {
    pub(crate) const fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadKey => StatusCode::UNAUTHORIZED,
            Self::BadRequest(_) => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::OverQuota(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::NotRun(..) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Lost(_) => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    pub(crate) const fn reason(self) -> &'static str {
        match self {
            Self::NoRoute => "no_route",
            Self::BadKey => "bad_key",
            Self::TooLarge => "body_too_large",
            Self::OverQuota(_) => "over_quota",
            Self::TimedOut => "timed_out",
            Self::BadRequest(reason) | Self::NotRun(reason, _) | Self::Lost(reason) => reason,
        }
    }

    const fn remedy(self) -> &'static str {
        match self {
            Self::NoRoute => "check the host and the path",
            Self::BadKey => "send a valid key",
            Self::BadRequest(_) => "correct the request",
            Self::TooLarge => "send a smaller body",
            Self::OverQuota(_) | Self::NotRun(..) => "not run; send it again after the stated time",
            Self::Lost(_) | Self::TimedOut => "it may have run; check before sending it again",
        }
    }

    const fn retry_after(self) -> Option<TimeSpan> {
        match self {
            Self::OverQuota(delay) | Self::NotRun(_, delay) => Some(delay),
            _ => None,
        }
    }

    /// Writes the answer.
    pub(crate) fn response(self, id: Option<&RequestId>) -> Response<AnswerBody> {
        let body = format!(
            "{{\"error\":\"{}\",\"remedy\":\"{}\"}}\n",
            self.reason(),
            self.remedy()
        );
        let mut response = Response::new(AnswerBody::complete(body));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        write_refusal_headers(headers, id.map(RequestId::as_str), self.retry_after());
        response
    }
}
