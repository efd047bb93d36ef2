//! Reference page of the settings file.

use std::fmt::Write;

/// Description of one setting.
#[derive(Debug, Clone, Copy)]
pub struct SettingEntry {
    /// Path in the file.
    pub path: &'static str,
    /// Form of the value.
    pub form: &'static str,
    /// Default, or `required`.
    pub default: &'static str,
    /// What it does.
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

/// Every setting of the file.
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
        "PEM files; plain HTTP when absent.",
    ),
    entry(
        "caller.body_limit_bytes",
        "bytes",
        "4194304",
        "Largest accepted body.",
    ),
    entry(
        "caller.body_timeout",
        "time",
        "10s",
        "Longest time in which a body must arrive.",
    ),
    entry(
        "caller.concurrent_requests",
        "number",
        "4096",
        "Most requests served at once.",
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
        "BLAKE3 digest of the operators' credential; `clementinepond digest` prints it.",
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
        "Address that other VMs dial.",
    ),
    entry(
        "peer.secret",
        "text",
        "required",
        "Secret shared by all VMs; authenticates each message.",
    ),
    entry(
        "peer.seeds",
        "[{vm, address}]",
        "[]",
        "VMs to ask at start.",
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
        "Longest wait for an answer.",
    ),
    entry(
        "platform.watch_wait",
        "time",
        "30s",
        "Longest wait of one watch call.",
    ),
    entry(
        "platform.list_interval",
        "time",
        "2s",
        "Interval between readings of the list of VMs.",
    ),
    entry(
        "endpoint.connect_timeout",
        "time",
        "1s",
        "Longest wait for a connection.",
    ),
    entry(
        "endpoint.answer_timeout",
        "time",
        "120s",
        "Longest wait for the head of an answer.",
    ),
    entry(
        "endpoint.token_timeout",
        "time",
        "20s",
        "Longest silence inside a streamed answer.",
    ),
    entry(
        "endpoint.report_interval",
        "time",
        "500ms",
        "Interval between readings of a report.",
    ),
    entry(
        "request.admission_wait",
        "time",
        "300ms",
        "Longest wait for admission before a refusal.",
    ),
    entry(
        "request.total_timeout",
        "time",
        "600s",
        "Longest whole life of one request.",
    ),
    entry(
        "request.attempt_limit",
        "number",
        "4",
        "Most attempts for one repeatable request.",
    ),
    entry(
        "request.retry_percent",
        "0 to 100",
        "20",
        "Retries allowed for every 100 requests.",
    ),
    entry(
        "request.shutdown_wait",
        "time",
        "60s",
        "Longest wait for running requests at a graceful shutdown.",
    ),
    entry(
        "membership.heartbeat_period",
        "time",
        "1s",
        "Time between two rounds of heartbeats.",
    ),
    entry(
        "membership.suspicion",
        "time",
        "8s",
        "Silence after which a VM is suspected.",
    ),
    entry(
        "membership.validity",
        "time",
        "10s",
        "Time for which a paused VM keeps the use of its parts.",
    ),
    entry(
        "membership.settle",
        "time",
        "10s",
        "Time in which news of one VM reaches all connected ones.",
    ),
    entry(
        "membership.list_lag",
        "time",
        "30s",
        "Bound of the lag of the platform's list of VMs.",
    ),
    entry(
        "membership.loan_span",
        "time",
        "20s",
        "Longest life of a grant on parts.",
    ),
    entry(
        "membership.balance_period",
        "time",
        "20s",
        "Time between two steps towards even parts.",
    ),
    entry(
        "membership.refuse_keys_after",
        "time",
        "none",
        "Time without news after which all keys are refused.",
    ),
    entry(
        "limit.lot_span",
        "time",
        "10s",
        "Life of a lot of tokens at the VM that borrowed it.",
    ),
    entry(
        "limit.loan_interval",
        "time",
        "2s",
        "Shortest interval between two polls for loans.",
    ),
    entry(
        "telemetry.log_level",
        "level",
        "info",
        "Least severe level that is logged.",
    ),
    entry(
        "telemetry.otlp_address",
        "URL",
        "none",
        "OTLP collector for traces, as `http://IP:PORT`.",
    ),
    entry(
        "telemetry.trace_history",
        "number",
        "256",
        "Newest traces kept in memory for the administration API.",
    ),
];

/// Returns the reference page as Markdown.
#[must_use]
pub fn reference_page() -> String {
    let mut page = String::from(
        "# Settings of one VM\n\nGenerated by `clementinepond reference`; do not edit.\n\nThe file is JSON in which comments are allowed. A time is a whole number with\n`us`, `ms`, `s`, `min` or `h`.\n\n| Setting | Form | Default | Meaning |\n| --- | --- | --- | --- |\n",
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
