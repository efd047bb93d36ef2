//! Mutations of the limit specification.

use crate::explore::mutations;

mutations! {
    LimitMutation {
        KeepExpiredPartLoans "keep_lapsed_loans" "the owner keeps using an expired loan",
        CountFromReceipt "count_from_receipt"
            "the owner counts the deadline of a loan from its receipt",
        IgnoreDrift "ignore_drift" "the deadline of a loan is not reduced for clock drift",
        KeepLentSlice "keep_lent_slice" "a lender keeps using its part while it is lent",
        ReclaimFull "resume_full" "a lender reclaims its part filled with tokens",
        ReserveWithoutHold "forget_holds"
            "an admitted request does not hold capacity until it is dispatched",
        ActLate "act_late" "a paused VM dispatches an admitted request after its deadline",
        ReleaseBeforeStop "release_before_stop" "a VM releases its part while it is lent",
        ResumeOnUnknown "resume_on_unknown"
            "a VM uses its part again while the outcome of its release is unknown",
        RemoveWithoutHoldOff "remove_without_hold_off"
            "a VM that is no longer listed is removed at once",
        SkipStartWait "skip_start_wait" "a restarted VM uses its part at once",
    }
}
