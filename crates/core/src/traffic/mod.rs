//! The decisions of a traffic thread: queries, legs, attempts, targets.
