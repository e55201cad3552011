//! Least-squares fits of a line through measured points.

use serde::Serialize;

/// The line `intercept + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// The increase of the value per unit of `x`.
    pub slope: f64,
    /// The value at `x = 0`.
    pub intercept: f64,
    /// The root mean square distance of the points from the line, in the unit of the value.
    pub residual: f64,
}

impl Fit {
    /// The value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// Fits a line through points `(x, y)`. Returns `None` if fewer than two values of `x` differ or a
/// value is not finite.
pub fn least_squares(points: &[(f64, f64)]) -> Option<Fit> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
    if !spread.is_finite() || spread <= 0.0 || !mean_y.is_finite() {
        return None;
    }
    let product = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>();
    let slope = product / spread;
    let line = Fit { slope, intercept: mean_y - slope * mean_x, residual: 0.0 };
    let squares = points.iter().map(|&(x, y)| (y - line.at(x)).powi(2)).sum::<f64>();
    Some(Fit { residual: (squares / count).sqrt(), ..line })
}

/// The error of a prediction in percent of the measured value, or `None` if the measured value is
/// 0.
pub fn error_percent(predicted: f64, measured: f64) -> Option<f64> {
    (measured != 0.0).then(|| 100.0 * (predicted - measured) / measured)
}
