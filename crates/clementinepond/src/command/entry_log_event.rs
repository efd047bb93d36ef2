//! Log events of an entry VM.

use super::log_event::{LogEvent, event};

/// Every event that an entry VM logs.
pub(super) const ENTRY_LOG_EVENTS: &[LogEvent] = &[
    event(
        "accept_failed",
        "error",
        "a caller's connection could not be accepted; descriptors may have run out",
    ),
    event(
        "adapter_missed",
        "request endpoint waits",
        "an endpoint did not get the adapter of a request in time",
    ),
    event(
        "answer_foreign",
        "endpoint request answer signed",
        "an answer of another request, or without a signature, was dropped",
    ),
    event(
        "attempt_lost",
        "request endpoint outcome sent",
        "an attempt ended without an answer of use; the request may have run",
    ),
    event(
        "attempt_refused",
        "request endpoint status load",
        "an endpoint stated that it did not run the request",
    ),
    event(
        "attempt_unsent",
        "request endpoint reason",
        "no connection to the endpoint; nothing was sent",
    ),
    event(
        "caller_connection_ended",
        "error",
        "a caller's connection ended with an error",
    ),
    event(
        "configuration_applied",
        "version previous source routes accounts",
        "a configuration is in force",
    ),
    event(
        "configuration_refused",
        "source error",
        "a configuration cannot be read; the one before stays",
    ),
    event(
        "configuration_unread",
        "error",
        "the store gave no answer to the reading of a newer configuration",
    ),
    event(
        "connection_ended",
        "address error",
        "a connection to an endpoint, the store or a peer ended with an error",
    ),
    event(
        "crash_suspected",
        "endpoint fingerprint count",
        "an endpoint went down with a request",
    ),
    event(
        "duty_acquired",
        "fence orders_in",
        "this VM holds the placement duty and orders after that time",
    ),
    event(
        "duty_lost",
        "",
        "this VM no longer holds the placement duty",
    ),
    event(
        "endpoint_changed",
        "endpoint change phase models revision source",
        "an endpoint joined, changed or drains",
    ),
    event(
        "endpoint_ejected",
        "endpoint outcome",
        "an endpoint is set aside after failures",
    ),
    event(
        "endpoint_gone",
        "endpoint",
        "an endpoint stayed unlisted and is forgotten, or its notice ran out",
    ),
    event(
        "endpoint_unlisted",
        "endpoint revision source",
        "an endpoint has left the list",
    ),
    event(
        "endpoint_unreadable",
        "endpoint revision error",
        "an entry of another writer was ignored",
    ),
    event(
        "endpoints_listed",
        "count revision source",
        "all entries were read",
    ),
    event(
        "entry_unreadable",
        "endpoint error",
        "a change told by a peer cannot be read",
    ),
    event(
        "lease_refused",
        "status",
        "the store refused an update of the lease",
    ),
    event(
        "lease_unknown",
        "error",
        "an update of the lease got no answer",
    ),
    event("lease_unread", "error", "the lease could not be read"),
    event(
        "lease_unwritable",
        "error",
        "the lease could not be encoded; report it as a fault",
    ),
    event(
        "log_lines_dropped",
        "count",
        "lines over the budget of a second, or beyond the buffer, were dropped",
    ),
    event(
        "message_dropped",
        "to error",
        "a datagram to a peer was not sent",
    ),
    event(
        "message_malformed",
        "from error",
        "a datagram cannot be read; another version may run there",
    ),
    event(
        "message_too_large",
        "bytes",
        "a message does not fit a datagram; report it as a fault",
    ),
    event(
        "message_unread",
        "error",
        "a datagram could not be received",
    ),
    event(
        "message_unwritable",
        "error",
        "a message could not be encoded; report it as a fault",
    ),
    event(
        "move_started",
        "endpoint load unload work_milli from_store",
        "the holder moves a model; work in thousandths of an engine",
    ),
    event(
        "object_malformed",
        "kind name count error action",
        "objects of the store cannot be read",
    ),
    event(
        "order_answered",
        "endpoint order after fence reply",
        "what became of an order",
    ),
    event(
        "peer_learned",
        "peer address",
        "a VM is known, or has a new address",
    ),
    event(
        "peer_lost",
        "peer",
        "a VM has been silent for long and no longer counts",
    ),
    event(
        "probe_ended",
        "error",
        "a connection for readiness or metrics ended with an error",
    ),
    event(
        "quota_refused",
        "request account units level rate_per_s burst is_current retry_ms",
        "a request is beyond its account's quota",
    ),
    event(
        "request_ended",
        "request route service model account endpoint outcome status reason endpoints waited_ms predicted_ms first_ms pause_ms duration_ms configuration",
        "a request ended",
    ),
    event(
        "settings_refused",
        "error",
        "settings that were read again are wrong; the ones before stay",
    ),
    event("settings_reloaded", "", "settings were read again"),
    event(
        "snapshot_connection_ended",
        "error",
        "a connection for a snapshot ended with an error",
    ),
    event("snapshot_failed", "peer error", "a peer gave no snapshot"),
    event(
        "snapshot_malformed",
        "peer error",
        "a peer's snapshot cannot be read",
    ),
    event(
        "snapshot_taken",
        "peer revision known entries",
        "changes were taken over from a peer",
    ),
    event(
        "snapshot_unwritable",
        "error",
        "a snapshot could not be encoded; report it as a fault",
    ),
    event(
        "socket_untuned",
        "error",
        "a socket option is missing; dead peers are noticed later",
    ),
    event(
        "status_failed",
        "endpoint error",
        "an engine's status could not be read",
    ),
    event(
        "status_refused",
        "endpoint status",
        "an engine refused to tell its status",
    ),
    event(
        "status_unreadable",
        "endpoint error",
        "an engine's status cannot be read",
    ),
    event(
        "stop_incomplete",
        "connections",
        "requests were still running when the grace ended",
    ),
    event("stop_requested", "", "the process was told to stop"),
    event("store_lost", "kind error", "calls of the store fail"),
    event("store_regained", "kind", "calls of the store work again"),
    event(
        "vm_entry_failed",
        "outcome",
        "this VM's entry was not written; it is tried again",
    ),
    event(
        "vm_list_failed",
        "error",
        "the list of VMs could not be read",
    ),
    event(
        "vm_started",
        "vm data_centre callers readiness peers metrics incarnation",
        "the VM listens",
    ),
    event("vm_stopped", "", "the VM has stopped"),
    event(
        "watch_expired",
        "kind action",
        "the store has dropped the history; a list follows",
    ),
];
