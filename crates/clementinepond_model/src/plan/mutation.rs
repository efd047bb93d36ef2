//! Mutations of the placement specification.

use crate::explore::mutations;

mutations! {
    PlanMutation {
    ReleaseOnAck "release_on_ack" "ends a reservation when the endpoint replies to the order",
    ReleaseWithoutBarrier "release_without_barrier"
        "ends a reservation once the order's window has ended, without a barrier in a report",
    ForgetCopies "forget_copies"
        "ends a reservation when a report shows the order done, although a copy may arrive",
    NoWaitOnTakeover "no_wait_on_takeover"
        "sends orders while orders of the previous holder may still take effect",
    NoBarrierOnTakeover "no_barrier_on_takeover"
        "sends orders based on a report that may be older than the takeover",
    ForgetInheritedOrders "forget_inherited_orders"
        "ignores the orders stored by the previous holder",
    SendBeforeIntent "send_before_intent" "sends an order before its intent is stored",
    OrdersWithoutDeadline "orders_without_deadline"
        "sends orders whose deadline does not end with the lease",
    SendLate "send_late" "a paused holder sends an order after its deadline",
    LeaseFromReply "lease_from_reply"
        "counts the lease from the reply to a write instead of from its send",
    ReuseNonce "reuse_nonce" "cannot tell its own acquisition from an earlier one",
    IgnoreDrift "ignore_drift" "takes over without a margin for clock drift",
    }
}
