//! Linear regression by least squares.

/// Returns the intercept and the slope of the least-squares line through `points`.
pub(crate) fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if variance == 0.0 { 0.0 } else { covariance / variance };
    (mean_y - slope * mean_x, slope)
}
