//! Guards that can be removed.

use crate::explore::mutations;

mutations! {
    LimitMutation {
        KeepLapsedLoans "keep_lapsed_loans" "a lapsed loan stays usable at the home",
        CountFromReceipt "count_from_receipt" "a deadline is counted from the receipt of a loan",
        IgnoreDrift "ignore_drift" "a deadline is not shortened by the drift of clocks",
        KeepLentSlice "keep_lent_slice" "a lender goes on using what it lent",
        ResumeFull "resume_full" "a lender resumes its part with tokens",
        ForgetHolds "forget_holds" "an admitted request does not hold capacity",
        ActLate "act_late" "a paused VM acts on an admission after its deadline",
        ReleaseBeforeStop "release_before_stop" "a VM releases its part while it is lent",
        ResumeOnUnknown "resume_on_unknown"
            "a VM uses its part again while the fate of its release is unknown",
        RemoveWithoutHoldOff "remove_without_hold_off"
            "a VM that is listed as gone is removed at once",
        SkipStartWait "skip_start_wait" "a restarted VM uses its part at once",
    }
}
