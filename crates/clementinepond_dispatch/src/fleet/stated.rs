//! Values that endpoints state in all their answers while they apply.

/// What an answer states about a value.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Stated<T> {
    /// The endpoint states none.
    #[default]
    Absent,
    /// The endpoint states this one.
    Value(T),
    /// The statement cannot be read; what is known stays in force.
    Unreadable,
}
