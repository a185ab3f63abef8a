//! Extrapolation of measured points to the target size by a straight line.

use serde_json::{Value, json};

use crate::least_squares::fit_line;

/// Fits a line to `points` and reports its intercept, its slope and its value at `target`.
pub(crate) fn report(points: &[(f64, f64)], target: f64) -> Value {
    let (intercept, slope) = fit_line(points);
    json!({
        "points": points,
        "base": intercept,
        "slope": slope,
        "target": target,
        "at_target": intercept + slope * target,
    })
}
