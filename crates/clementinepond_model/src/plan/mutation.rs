//! Guards that can be removed.

use crate::explore::mutations;

mutations! {
    PlanMutation {
    ReleaseOnAck "release_on_ack" "ends a reservation when the endpoint answers the order",
    ReleaseWithoutBarrier "release_without_barrier"
        "ends a reservation once its window is over, without a barrier in a report",
    ForgetCopies "forget_copies"
        "ends a reservation when a report shows the order done, though a copy may arrive",
    NoWaitOnTakeover "no_wait_on_takeover"
        "orders before the orders of the former holder have died out",
    NoBarrierOnTakeover "no_barrier_on_takeover"
        "orders by a report that may be older than the takeover",
    ForgetInheritedOrders "forget_inherited_orders"
        "ignores the orders that the former holder wrote down",
    SendBeforeIntent "send_before_intent" "sends an order before it is written down",
    OrdersWithoutDeadline "orders_without_deadline" "orders live on in the network",
    SendLate "send_late" "a paused holder sends an order after its deadline",
    LeaseFromReply "lease_from_reply" "counts the lease from the answer to its write",
    ReuseNonce "reuse_nonce" "cannot tell its own acquisition from an earlier one",
    IgnoreDrift "ignore_drift" "takes over without a margin for the drift of clocks",
    }
}
