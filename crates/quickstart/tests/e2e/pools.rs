//! Route classes under load, targets that fail, and orders to engines.
