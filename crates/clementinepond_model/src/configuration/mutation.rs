//! Guards that can be removed.

use crate::explore::mutations;

mutations! {
    ConfigurationMutation {
        AcceptOlder "accept_older" "takes in a version that is older than the one held",
        SkipBaseCheck "skip_base_check"
            "applies a difference to another version than the one it was made from",
        ApplyFirstHeard "apply_first_heard"
            "puts the first version heard after a restart in force at once",
    }
}
