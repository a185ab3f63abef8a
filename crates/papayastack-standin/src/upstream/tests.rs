//! Tests of the stand-in upstream.
