//! Straight lines through measured points, and what they give at the target.

use serde_json::{Value, json};

use crate::least_squares::fit_line;
use crate::steady::Steady;
use crate::{TARGET_MEMBERS, TARGET_MEMBERS_PER_REGION};

/// Fits a value against members and against their binary logarithm.
pub(crate) fn report(steady: &[Steady], value: impl Fn(&Steady) -> f64) -> Value {
    let points = |x: fn(f64) -> f64| -> Vec<(f64, f64)> {
        steady.iter().map(|it| (x(it.members as f64), value(it))).collect()
    };
    let (base, slope) = fit_line(&points(|members| members));
    let (log_base, log_slope) = fit_line(&points(f64::log2));
    json!({
        "base": base,
        "per_member": slope,
        "at_region_of_the_target": base + slope * TARGET_MEMBERS_PER_REGION,
        "at_members_of_the_target": base + slope * TARGET_MEMBERS,
        "base_by_doubling": log_base,
        "per_doubling": log_slope,
        "at_region_of_the_target_by_doubling":
            log_base + log_slope * TARGET_MEMBERS_PER_REGION.log2(),
    })
}
