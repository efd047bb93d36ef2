//! Least-squares line fit.

/// Line fitted by least squares.
#[derive(Debug, Clone, Copy)]
pub(super) struct LineFit {
    /// Increase of y per unit of x.
    pub(super) slope: f64,
    /// Largest vertical distance of a point from the line.
    pub(super) residual: f64,
}

impl LineFit {
    /// Fits a line; needs points with at least two different x values.
    pub(super) fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let covariance: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        let residual = points
            .iter()
            .map(|(x, y)| (y - mean_y - slope * (x - mean_x)).abs())
            .fold(0.0, f64::max);
        Self { slope, residual }
    }
}
