//! Mutations of the claim specification.

use crate::explore::mutations;

mutations! {
    ClaimMutation {
        GrantBeforeDurable "grant_before_durable" "an owner grants a claim before it is durable",
        AcknowledgeOldTerm "acknowledge_old_term"
            "a replica acknowledges copies of an older term than it has promised",
        SkipCollect "skip_collect" "a new owner grants without the records of a witness",
        CopyBeforeWitness "copy_before_witness"
            "copies count as durable before the stored object names the replica",
        ForgetUnreportedRun "forget_unreported_run"
            "the claim of a run without a report becomes free",
        ReleaseAnyHolder "release_any_holder"
            "a report that nothing ran frees the claim of another call",
        AdoptCopyHolder "adopt_copy_holder"
            "a new owner adopts the holder in the copy although the object names another",
        GrantClosedTicket "grant_closed_ticket"
            "a grant that arrives after the caller was told that nothing ran is used",
        TrustUnknownStore "trust_unknown_store" "a write without an answer counts as stored",
        SkipQuarantine "skip_quarantine"
            "a new owner grants although every witness has lost its records",
        IgnoreVersion "ignore_version"
            "writes take effect although the object has changed since it was read",
    }
}
