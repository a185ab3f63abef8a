//! Straight lines through measured points.

use serde_json::{Value, json};

use crate::line::line;

/// Fits `points` and reports base, slope and the value at `target`.
pub(crate) fn report(points: &[(f64, f64)], target: f64) -> Value {
    let (base, slope) = line(points);
    json!({
        "points": points,
        "base": base,
        "slope": slope,
        "target": target,
        "at_target": base + slope * target,
    })
}
