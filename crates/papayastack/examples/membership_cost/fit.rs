//! Extrapolation of measured points to the target size by straight lines.

use serde_json::{Value, json};

use crate::least_squares::fit_line;
use crate::steady::SteadyCost;
use crate::{TARGET_MEMBERS, TARGET_MEMBERS_PER_REGION};

/// Fits a value against the number of members and against its binary logarithm.
pub(crate) fn report(steady: &[SteadyCost], value: impl Fn(&SteadyCost) -> f64) -> Value {
    let points = |x: fn(f64) -> f64| -> Vec<(f64, f64)> {
        steady.iter().map(|it| (x(it.members as f64), value(it))).collect()
    };
    let (intercept, slope) = fit_line(&points(|members| members));
    let (log_intercept, log_slope) = fit_line(&points(f64::log2));
    json!({
        "base": intercept,
        "per_member": slope,
        "at_region_of_the_target": intercept + slope * TARGET_MEMBERS_PER_REGION,
        "at_members_of_the_target": intercept + slope * TARGET_MEMBERS,
        "base_by_doubling": log_intercept,
        "per_doubling": log_slope,
        "at_region_of_the_target_by_doubling":
            log_intercept + log_slope * TARGET_MEMBERS_PER_REGION.log2(),
    })
}
