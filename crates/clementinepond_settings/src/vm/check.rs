//! Checks of VM settings that their types cannot express.

use super::VmSettings;
use crate::FaultList;
use clementinepond_types::TimeSpan;

/// Minimum length of the peer secret.
const SECRET_MIN_BYTES: usize = 16;
/// Minimum of the body size limit.
const BODY_LIMIT_MIN_BYTES: usize = 1024;
/// Lifetime of a part loan in poll intervals.
const LOAN_LIFETIME_POLLS: u64 = 3;
const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

impl VmSettings {
    /// Adds a fault for each invalid value.
    pub fn check(&self, faults: &mut FaultList) {
        self.check_peer(faults);
        self.check_caller(faults);
        self.check_request(faults);
        self.check_times(faults);
        self.check_loan_lifetime(faults);
        self.check_telemetry(faults);
    }

    fn check_peer(&self, faults: &mut FaultList) {
        faults.require(
            self.peer.secret.len() >= SECRET_MIN_BYTES,
            "peer.secret",
            "the secret is shorter than 16 bytes",
            "set the same random secret of at least 16 bytes on every VM",
        );
        faults.require(
            self.peer
                .advertise
                .is_none_or(|address| address.port() != 0),
            "peer.advertise",
            "other VMs cannot connect to port 0",
            "set the port that other VMs connect to",
        );
    }

    fn check_caller(&self, faults: &mut FaultList) {
        faults.require(
            self.caller.body_limit_bytes >= BODY_LIMIT_MIN_BYTES,
            "caller.body_limit_bytes",
            "the limit is below 1024 bytes",
            "set it to at least the size of the largest request",
        );
        faults.require(
            self.caller.concurrent_requests > 0,
            "caller.concurrent_requests",
            "the limit is 0, so no request can be served",
            "set it to at least 1",
        );
    }

    fn check_request(&self, faults: &mut FaultList) {
        faults.require(
            self.request.attempt_limit > 0,
            "request.attempt_limit",
            "the limit is 0, so no attempt is allowed",
            "set it to at least 1",
        );
        faults.require(
            self.request.retry_percent <= 100,
            "request.retry_percent",
            "the value is above 100, which allows more retries than requests",
            "set it to at most 100",
        );
    }

    fn check_times(&self, faults: &mut FaultList) {
        let spans = [
            ("caller.body_timeout", self.caller.body_timeout),
            ("platform.timeout", self.platform.timeout),
            ("platform.watch_wait", self.platform.watch_wait),
            ("platform.list_interval", self.platform.list_interval),
            ("endpoint.connect_timeout", self.endpoint.connect_timeout),
            ("endpoint.answer_timeout", self.endpoint.answer_timeout),
            ("endpoint.token_timeout", self.endpoint.token_timeout),
            ("endpoint.report_interval", self.endpoint.report_interval),
            ("request.total_timeout", self.request.total_timeout),
            (
                "membership.heartbeat_period",
                self.membership.heartbeat_period,
            ),
            ("membership.suspicion", self.membership.suspicion),
            ("membership.loan_span", self.membership.loan_span),
            ("limit.lot_span", self.limit.lot_span),
            ("limit.loan_interval", self.limit.loan_interval),
        ];
        for (path, span) in spans {
            faults.require(
                span > TimeSpan::ZERO,
                path,
                "the time is zero",
                "set a time like \"500ms\"",
            );
        }
    }

    fn check_loan_lifetime(&self, faults: &mut FaultList) {
        let longest = self
            .limit
            .lot_span
            .max(self.limit.loan_interval.fraction(LOAN_LIFETIME_POLLS, 1));
        faults.require(
            self.membership.loan_span > longest,
            "membership.loan_span",
            &format!("grants can last for {longest}"),
            "set it longer than both limit.lot_span and three times limit.loan_interval",
        );
    }

    fn check_telemetry(&self, faults: &mut FaultList) {
        faults.require(
            LOG_LEVELS.contains(&&*self.telemetry.log_level),
            "telemetry.log_level",
            "the level is unknown",
            "use off, error, warn, info, debug or trace",
        );
    }
}
