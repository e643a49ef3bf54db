//! Configuration under failure: in force everywhere, never reverting.
