//! Guards that can be removed.

use crate::explore::mutations;

mutations! {
    ClaimMutation {
        GrantBeforeDurable "grant_before_durable" "grants a claim before it is durable",
        AcknowledgeOldTerm "acknowledge_old_term"
            "a replica acknowledges copies of an owner whose successor it promised itself to",
        SkipCollect "skip_collect" "a new owner grants without the records of a witness",
        CopyBeforeWitness "copy_before_witness"
            "copies count before the stored object names the replica",
        ForgetUnreportedRun "forget_unreported_run" "a run without report is granted again",
        ReleaseAnyHolder "release_any_holder"
            "a report that nothing ran releases the claim of another call",
        AdoptCopyHolder "adopt_copy_holder"
            "a new owner trusts the copy where the object names another holder",
        GrantClosedTicket "grant_closed_ticket"
            "a grant that comes after the call was told that nothing ran is used",
        TrustUnknownStore "trust_unknown_store" "a write without answer counts as stored",
        SkipQuarantine "skip_quarantine"
            "a new owner grants although every witness has forgotten its records",
        IgnoreVersion "ignore_version"
            "writes land although the object has changed since it was read",
    }
}
