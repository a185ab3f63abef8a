//! Tests of the fan-out.
