//! Log events of an entry VM.

use super::log_event::{LogEvent, event};

/// All events that an entry VM logs.
pub(super) const ENTRY_LOG_EVENTS: &[LogEvent] = &[
    event(
        "accept_failed",
        "error",
        "a connection of a caller could not be accepted; file descriptors may have run out",
    ),
    event(
        "adapter_missed",
        "request endpoint waits",
        "an endpoint did not load the adapter of a request in time",
    ),
    event(
        "answer_foreign",
        "endpoint request answer signed",
        "an answer was dropped since it belongs to another request or succeeded without a signature",
    ),
    event(
        "answer_memory_full",
        "bytes",
        "an answer was broken off, since large answers use all the memory that they share",
    ),
    event(
        "attempt_lost",
        "request endpoint outcome sent",
        "an attempt ended without a usable answer; the endpoint may have run the request",
    ),
    event(
        "attempt_refused",
        "request endpoint status load",
        "an endpoint answered that it did not run the request",
    ),
    event(
        "attempt_unsent",
        "request endpoint reason",
        "no connection to the endpoint could be made; the request was not sent",
    ),
    event(
        "caller_connection_ended",
        "error",
        "a connection of a caller ended with an error",
    ),
    event(
        "configuration_applied",
        "version previous source behind_ms routes accounts",
        "a newer configuration was applied; `behind_ms` is the time since a peer was known to have a newer one",
    ),
    event(
        "configuration_refused",
        "source error",
        "a configuration is invalid; the previous one stays in force",
    ),
    event(
        "configuration_unread",
        "error",
        "reading the configuration from the store failed",
    ),
    event(
        "connection_ended",
        "address error",
        "a connection to an endpoint, the store or a peer ended with an error",
    ),
    event(
        "duty_acquired",
        "fence orders_in",
        "this VM holds the placement lease and sends orders after `orders_in`",
    ),
    event(
        "duty_lost",
        "",
        "this VM no longer holds the placement lease",
    ),
    event(
        "endpoint_brittle",
        "endpoint most",
        "an endpoint states that it falls over after more than `most` rejections in a second, or no longer does",
    ),
    event(
        "endpoint_changed",
        "endpoint change phase models revision source",
        "an endpoint joined, changed or is draining",
    ),
    event(
        "endpoint_checked",
        "endpoint verdict",
        "an endpoint that did not answer was checked, by this VM and a peer",
    ),
    event(
        "endpoint_crashed",
        "endpoint started_ms runs age_ms",
        "an endpoint refused connections after it lost `runs` requests of this VM",
    ),
    event(
        "endpoint_ejected",
        "endpoint outcome",
        "an endpoint gets no requests for a while after failures",
    ),
    event(
        "endpoint_gone",
        "endpoint",
        "an endpoint was removed: it stayed unlisted, or its announced removal time has passed",
    ),
    event(
        "endpoint_limit",
        "endpoint rate source",
        "an endpoint states how many requests a second it takes from all VMs, or no longer does (`rate=none`); a peer's report names the endpoint by its hash",
    ),
    event(
        "endpoint_limit_unreadable",
        "endpoint",
        "an endpoint states a limit that is no decimal number; the limit known before stays in force",
    ),
    event(
        "endpoint_unlisted",
        "endpoint revision source",
        "an endpoint was deleted from the store; it is removed after a grace period",
    ),
    event(
        "endpoint_unreadable",
        "endpoint revision error",
        "the entry of an endpoint is malformed and was ignored",
    ),
    event(
        "endpoints_listed",
        "count revision source",
        "all endpoint entries were read",
    ),
    event(
        "endpoints_cut",
        "is_cut",
        "this VM lost its links to the endpoints, or has them again; requests go through peers meanwhile",
    ),
    event(
        "entry_unreadable",
        "endpoint error",
        "a changed endpoint entry from a peer is malformed and was ignored",
    ),
    event(
        "link_failed",
        "endpoint reason",
        "a peer reached an endpoint to which this VM could not connect",
    ),
    event(
        "link_restored",
        "endpoint",
        "a direct connection to an endpoint was opened again",
    ),
    event(
        "lease_refused",
        "status",
        "the store refused an update of the placement lease",
    ),
    event(
        "lease_unknown",
        "error",
        "an update of the placement lease failed; it may have been applied",
    ),
    event(
        "lease_unread",
        "error",
        "the placement lease could not be read from the store",
    ),
    event(
        "lease_unwritable",
        "error",
        "the placement lease could not be encoded; report it as a bug",
    ),
    event(
        "log_lines_dropped",
        "count",
        "log lines above the limit per second or beyond the buffer were dropped",
    ),
    event(
        "message_dropped",
        "to error",
        "a datagram to a peer could not be sent",
    ),
    event(
        "message_malformed",
        "from error",
        "a datagram cannot be decoded; the sender may run another version",
    ),
    event(
        "message_too_large",
        "bytes",
        "a message does not fit into a datagram; report it as a bug",
    ),
    event(
        "message_unread",
        "error",
        "a datagram could not be received",
    ),
    event(
        "message_unwritable",
        "error",
        "a message could not be encoded; report it as a bug",
    ),
    event(
        "move_started",
        "endpoint load unload work_milli from_store",
        "this VM, the lease holder, starts to load a model on an endpoint; `work_milli` is the utilization in thousandths of an engine",
    ),
    event(
        "object_malformed",
        "kind name count error action",
        "one or several objects of the store are malformed",
    ),
    event(
        "order_answered",
        "endpoint order after fence reply",
        "an order to an endpoint was answered, or its outcome is unknown",
    ),
    event(
        "peer_learned",
        "peer address",
        "another VM became known or has a new address",
    ),
    event(
        "peer_lost",
        "peer",
        "another VM was out of contact for too long and was removed from the known peers",
    ),
    event(
        "peer_traffic",
        "heartbeat runs entries placement other snapshot dropped",
        "bytes sent to peers by type of message since the last such line, and datagrams dropped since the start",
    ),
    event(
        "peer_request_sent",
        "request endpoint outcome duration_ms",
        "a request that a peer forwarded was sent to its endpoint; `outcome` is what the peer was told",
    ),
    event(
        "permit_denied",
        "endpoint rate replied retry_ms",
        "the limit that an endpoint states leaves no room for a call, or the VM that issues the permits did not reply; the call goes elsewhere or is refused",
    ),
    event(
        "probe_ended",
        "error",
        "a connection to the readiness or metrics listener ended with an error",
    ),
    event(
        "quota_refused",
        "request account units level rate_per_s burst is_current retry_ms",
        "a request exceeds the quota of its account",
    ),
    event(
        "reach_unknown",
        "peer error",
        "a peer did not state whether it reaches an endpoint",
    ),
    event(
        "request_blocked",
        "request suspect",
        "a request was refused since requests with this suspect crash endpoints",
    ),
    event(
        "request_forwarded",
        "request endpoint through outcome",
        "a request was sent through a peer, since this VM does not reach the endpoint",
    ),
    event(
        "request_ended",
        "request route service model account endpoint software outcome status reason endpoints waited_ms framing predicted_ms first_ms pause_ms open_event_bytes duration_ms configuration",
        "a request ended",
    ),
    event(
        "settings_refused",
        "error",
        "the settings file was reloaded and is invalid; the previous settings stay in force",
    ),
    event("settings_reloaded", "", "the settings file was reloaded"),
    event(
        "snapshot_connection_ended",
        "error",
        "a connection of a peer that reads a snapshot ended with an error",
    ),
    event(
        "snapshot_failed",
        "peer error",
        "reading a snapshot from a peer failed",
    ),
    event(
        "snapshot_malformed",
        "peer error",
        "the snapshot of a peer cannot be decoded",
    ),
    event(
        "snapshot_taken",
        "peer revision known entries",
        "newer endpoint entries were applied from the snapshot of a peer",
    ),
    event(
        "snapshot_unwritable",
        "error",
        "a snapshot could not be encoded; report it as a bug",
    ),
    event(
        "socket_untuned",
        "error",
        "a socket option could not be set; failed connections may be detected late",
    ),
    event(
        "status_failed",
        "endpoint error",
        "the call for the status of an engine failed",
    ),
    event(
        "status_refused",
        "endpoint status",
        "an engine answered the call for its status with an error",
    ),
    event(
        "status_unreadable",
        "endpoint error",
        "the status of an engine is malformed",
    ),
    event(
        "stop_incomplete",
        "connections",
        "connections were still open when the shutdown grace period ended",
    ),
    event(
        "stop_requested",
        "",
        "the process received a signal to stop",
    ),
    event(
        "store_lost",
        "kind error",
        "watching objects of this kind in the store fails",
    ),
    event(
        "store_regained",
        "kind",
        "watching objects of this kind in the store works again",
    ),
    event(
        "store_restored",
        "era previous",
        "the store came back from a copy; objects are listed and this VM's are written again",
    ),
    event(
        "stream_origin_dropped",
        "stream",
        "the origin of a stream was not kept, since the VM keeps too many",
    ),
    event(
        "stream_resumed",
        "request resumes endpoint software after",
        "a stream goes on after an event, within one answer or, with `resumes`, over its caller's tries",
    ),
    event(
        "suspect_blocked",
        "suspect source crashes loss_percent",
        "requests with a suspect are no longer sent; own evidence states the crashes in a row and the share of other requests that were lost",
    ),
    event(
        "suspect_sync_failed",
        "error",
        "blocked suspects could not be read from the store or written to it; tried again",
    ),
    event(
        "suspect_unblocked",
        "suspect",
        "requests with a suspect are sent again: one completed, an operator deleted the object, or none was seen for a day",
    ),
    event(
        "vm_entry_failed",
        "outcome",
        "the entry of this VM could not be written to the store; it is retried",
    ),
    event(
        "vm_list_failed",
        "error",
        "the list of VMs could not be read from the store",
    ),
    event(
        "vm_started",
        "vm data_centre callers readiness peers metrics incarnation",
        "the VM started and listens",
    ),
    event("vm_stopped", "", "the VM stopped"),
    event(
        "watch_expired",
        "kind action",
        "the store no longer has the requested history; all objects are listed again",
    ),
    event(
        "watch_started",
        "kind",
        "this VM watches objects of this kind in the store",
    ),
    event(
        "watch_stopped",
        "kind",
        "this VM leaves watching to other VMs of its data centre",
    ),
];
