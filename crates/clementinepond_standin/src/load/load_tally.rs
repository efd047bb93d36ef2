//! Aggregation of results while a load run is in progress.

use super::answer_check::AnswerVerdict;
use super::latency_histogram::LatencyHistogram;
use super::load_report::LoadReport;
use clementinepond_types::TimeSpan;

/// Result of one request.
#[derive(Debug)]
pub(super) struct RequestResult {
    pub(super) caller: Box<str>,
    pub(super) send_lag: TimeSpan,
    pub(super) status: Option<u16>,
    pub(super) outcome: Option<Box<str>>,
    pub(super) verdict: AnswerVerdict,
    pub(super) tokens: u64,
    pub(super) first_token: Option<TimeSpan>,
    pub(super) between_tokens: Vec<TimeSpan>,
    pub(super) total_time: TimeSpan,
}

/// Counts and latencies recorded so far.
#[derive(Debug)]
pub(super) struct LoadTally {
    report: LoadReport,
    first_token: LatencyHistogram,
    between_tokens: LatencyHistogram,
    total_time: LatencyHistogram,
    send_lag: LatencyHistogram,
}

impl LoadTally {
    pub(super) fn new(planned: u64) -> Self {
        Self {
            report: LoadReport {
                planned,
                ..LoadReport::default()
            },
            first_token: LatencyHistogram::new(),
            between_tokens: LatencyHistogram::new(),
            total_time: LatencyHistogram::new(),
            send_lag: LatencyHistogram::new(),
        }
    }

    pub(super) fn record_skipped(&mut self) {
        self.report.left_out += 1;
    }

    pub(super) fn record(&mut self, result: RequestResult) {
        let report = &mut self.report;
        report.sent += 1;
        let caller = report.by_caller.entry(result.caller).or_default();
        caller.sent += 1;
        if let Some(status) = result.status {
            *report.by_status.entry(status).or_default() += 1;
        }
        if let Some(outcome) = result.outcome {
            *report.by_outcome.entry(outcome).or_default() += 1;
        }
        match result.verdict {
            AnswerVerdict::Correct => {
                report.answered += 1;
                caller.answered += 1;
                caller.tokens += result.tokens;
                self.total_time.record(result.total_time);
            }
            AnswerVerdict::Refused => caller.refused += 1,
            AnswerVerdict::Wrong => report.wrong += 1,
            AnswerVerdict::Incomplete => report.incomplete += 1,
            AnswerVerdict::Broken => report.broken += 1,
            AnswerVerdict::TimedOut => report.timed_out += 1,
        }
        self.send_lag.record(result.send_lag);
        if let Some(latency) = result.first_token {
            self.first_token.record(latency);
        }
        for latency in result.between_tokens {
            self.between_tokens.record(latency);
        }
    }

    pub(super) fn finish(self) -> LoadReport {
        LoadReport {
            first_token: self.first_token.summary(),
            between_tokens: self.between_tokens.summary(),
            whole: self.total_time.summary(),
            send_lag: self.send_lag.summary(),
            ..self.report
        }
    }
}
