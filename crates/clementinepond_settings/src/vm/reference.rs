//! Reference page of the settings of a VM.

use std::fmt::Write;

/// Description of a setting.
#[derive(Debug, Clone, Copy)]
pub struct SettingEntry {
    /// Path of the setting in the file.
    pub path: &'static str,
    /// Form of the value, such as `time` or `IP:PORT`.
    pub form: &'static str,
    /// Default value, or `required`, or `none`.
    pub default: &'static str,
    /// Meaning of the setting.
    pub about: &'static str,
}

const fn entry(
    path: &'static str,
    form: &'static str,
    default: &'static str,
    about: &'static str,
) -> SettingEntry {
    SettingEntry {
        path,
        form,
        default,
        about,
    }
}

/// All settings of the file.
pub const SETTING_ENTRIES: &[SettingEntry] = &[
    entry(
        "vm",
        "name",
        "required",
        "Name of this VM, unique in the fleet.",
    ),
    entry("data_centre", "name", "required", "Data centre of this VM."),
    entry(
        "caller.listen",
        "IP:PORT",
        "required",
        "Address to listen on for callers.",
    ),
    entry(
        "caller.tls",
        "{certificate, private_key}",
        "none",
        "PEM files of the certificate chain and its private key; plain HTTP if absent.",
    ),
    entry(
        "caller.body_limit_bytes",
        "bytes",
        "4194304",
        "Maximum size of a request body.",
    ),
    entry(
        "caller.body_timeout",
        "time",
        "10s",
        "Timeout for receiving a request body.",
    ),
    entry(
        "caller.concurrent_requests",
        "number",
        "4096",
        "Maximum number of requests served concurrently by this VM.",
    ),
    entry(
        "admin.listen",
        "IP:PORT",
        "required",
        "Address to listen on for operators.",
    ),
    entry(
        "admin.credential_digest",
        "64 hex digits",
        "required",
        "BLAKE3 digest of the operator credential; `clementinepond digest` prints it.",
    ),
    entry(
        "peer.listen",
        "IP:PORT",
        "required",
        "Address to listen on for other VMs.",
    ),
    entry(
        "peer.advertise",
        "IP:PORT",
        "peer.listen",
        "Address that other VMs connect to.",
    ),
    entry(
        "peer.secret",
        "text",
        "required",
        "Secret shared by all VMs, which authenticates each message.",
    ),
    entry(
        "peer.seeds",
        "[{vm, address}]",
        "[]",
        "VMs to contact first at start.",
    ),
    entry(
        "platform.address",
        "IP:PORT",
        "required",
        "Address of the platform's object API.",
    ),
    entry(
        "platform.timeout",
        "time",
        "2s",
        "Timeout for an answer of the platform.",
    ),
    entry(
        "platform.watch_wait",
        "time",
        "30s",
        "Maximum time for which the platform holds a watch call open.",
    ),
    entry(
        "platform.list_interval",
        "time",
        "2s",
        "Interval between reads of the list of VMs.",
    ),
    entry(
        "endpoint.connect_timeout",
        "time",
        "1s",
        "Timeout for connecting to an endpoint.",
    ),
    entry(
        "endpoint.answer_timeout",
        "time",
        "120s",
        "Timeout for the head of an answer.",
    ),
    entry(
        "endpoint.token_timeout",
        "time",
        "20s",
        "Timeout between two chunks of a streamed answer.",
    ),
    entry(
        "endpoint.report_interval",
        "time",
        "500ms",
        "Interval between reads of the report of an endpoint.",
    ),
    entry(
        "request.admission_wait",
        "time",
        "300ms",
        "Maximum wait for admission, after which a request is refused.",
    ),
    entry(
        "request.total_timeout",
        "time",
        "600s",
        "Timeout of a request from arrival to the end of its answer.",
    ),
    entry(
        "request.attempt_limit",
        "number",
        "4",
        "Maximum number of attempts of a repeatable request.",
    ),
    entry(
        "request.retry_percent",
        "0 to 100",
        "20",
        "Retries that every 100 requests add to the retry budget.",
    ),
    entry(
        "request.shutdown_wait",
        "time",
        "60s",
        "Maximum wait for running requests during a graceful shutdown.",
    ),
    entry(
        "membership.heartbeat_period",
        "time",
        "1s",
        "Interval between heartbeats.",
    ),
    entry(
        "membership.suspicion",
        "time",
        "8s",
        "Time without contact after which a VM is suspected to have failed.",
    ),
    entry(
        "membership.validity",
        "time",
        "10s",
        "Time for which a VM that stops running may keep using its parts of the limits.",
    ),
    entry(
        "membership.settle",
        "time",
        "10s",
        "Time after which an update of one VM has reached all connected VMs.",
    ),
    entry(
        "membership.list_lag",
        "time",
        "30s",
        "Upper bound of the lag of the platform's list of VMs.",
    ),
    entry(
        "membership.loan_span",
        "time",
        "20s",
        "Upper bound of the lifetime of a grant or loan of parts.",
    ),
    entry(
        "membership.balance_period",
        "time",
        "20s",
        "Interval between steps that even out the parts of the VMs.",
    ),
    entry(
        "membership.refuse_keys_after",
        "time",
        "none",
        "Time without contact to other VMs and the platform after which all keys are refused; never if absent.",
    ),
    entry(
        "limit.lot_span",
        "time",
        "10s",
        "Upper bound of the lifetime of a token loan at the VM that borrowed the tokens.",
    ),
    entry(
        "limit.loan_interval",
        "time",
        "2s",
        "Shortest interval between two polls for part loans.",
    ),
    entry(
        "telemetry.log_level",
        "level",
        "info",
        "Minimum severity of log lines.",
    ),
    entry(
        "telemetry.otlp_address",
        "URL",
        "none",
        "OTLP collector for traces, as `http://IP:PORT`; no traces are exported if absent.",
    ),
    entry(
        "telemetry.trace_history",
        "number",
        "256",
        "Number of most recent traces kept in memory for the administration API.",
    ),
];

/// Returns the reference page as Markdown.
#[must_use]
pub fn reference_page() -> String {
    let mut page = String::from(
        "# Settings of a VM\n\nGenerated by `clementinepond reference`; do not edit.\n\nThe file is JSON in which comments are allowed. A time is a whole number with\n`us`, `ms`, `s`, `min` or `h`.\n\n| Setting | Form | Default | Meaning |\n| --- | --- | --- | --- |\n",
    );
    for entry in SETTING_ENTRIES {
        let _ = writeln!(
            page,
            "| `{}` | {} | {} | {} |",
            entry.path, entry.form, entry.default, entry.about
        );
    }
    page
}
