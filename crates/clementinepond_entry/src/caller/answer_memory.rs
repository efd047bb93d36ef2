//! Memory for answers that are read completely before they are sent to the caller.
//!
//! An endpoint may send bytes without end, and many requests may read such an answer at the
//! same time on a VM with little memory.

use std::cell::Cell;
use std::rc::Rc;

/// Size up to which an answer is not charged, so that answers of the usual size never fail.
const SMALL_ANSWER_BYTES: usize = 64 * 1024;
/// Memory that all larger answers share.
const SHARED_BYTES: usize = 32 * 1024 * 1024;

/// Bytes of large answers that are being read.
#[derive(Debug, Clone, Default)]
pub(crate) struct AnswerMemory(Rc<Cell<usize>>);

/// Memory charged for one answer; released when dropped.
#[derive(Debug)]
pub(super) struct AnswerCharge {
    memory: AnswerMemory,
    /// Bytes of the answer, charged or not.
    read: usize,
    charged: usize,
}

impl AnswerMemory {
    /// Starts the charge of an answer.
    pub(super) fn start_answer(&self) -> AnswerCharge {
        AnswerCharge {
            memory: self.clone(),
            read: 0,
            charged: 0,
        }
    }
}

impl AnswerCharge {
    /// Charges further bytes; returns `false` if the shared memory is used up.
    pub(super) fn add(&mut self, bytes: usize) -> bool {
        self.read += bytes;
        let due = self.read.saturating_sub(SMALL_ANSWER_BYTES) - self.charged;
        let total = self.memory.0.get() + due;
        if total > SHARED_BYTES {
            return false;
        }
        self.memory.0.set(total);
        self.charged += due;
        true
    }
}

impl Drop for AnswerCharge {
    fn drop(&mut self) {
        let total = self.memory.0.get();
        self.memory.0.set(total.saturating_sub(self.charged));
    }
}
