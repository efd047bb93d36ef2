//! Locks of state that stays sound when a holder panics.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks, also after a holder panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
