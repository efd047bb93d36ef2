//! Mutations of the configuration specification.

use crate::explore::mutations;

mutations! {
    ConfigurationMutation {
        AcceptOlder "accept_older" "accepts a version that is older than the one held",
        SkipBaseCheck "skip_base_check"
            "applies a delta to a version other than its base",
        ApplyFirstReceived "apply_first_heard"
            "applies the first version received after a restart at once",
    }
}
