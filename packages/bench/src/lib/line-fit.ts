/** A measured value `y` at size `x`. */
export interface Point {
  readonly x: number
  readonly y: number
}

/** A straight line and its distance from the points it was fitted to. */
export interface LineFit {
  readonly slope: number
  readonly intercept: number
  /** Coefficient of determination: share of the variance explained by the line, at most 1. */
  readonly rSquared: number
  /** Largest absolute residual, divided by the largest absolute `y`. */
  readonly worstError: number
}

/**
 * Fits a straight line by ordinary least squares.
 *
 * @param points at least two points with different `x`
 * @example
 * fitLine([{ x: 1, y: 2 }, { x: 2, y: 4 }]).slope // 2
 */
export function fitLine (points: readonly Point[]): LineFit {
  const meanX = mean(points.map((point) => point.x))
  const meanY = mean(points.map((point) => point.y))
  const sumOfProducts = sum(points.map((point) => (point.x - meanX) * (point.y - meanY)))
  const sumOfSquaresX = sum(points.map((point) => (point.x - meanX) ** 2))
  const slope = sumOfProducts / sumOfSquaresX
  const intercept = meanY - slope * meanX
  const residuals = points.map((point) => point.y - (intercept + slope * point.x))
  const totalSumOfSquares = sum(points.map((point) => (point.y - meanY) ** 2))
  const largest = Math.max(...points.map((point) => Math.abs(point.y)))
  return {
    slope,
    intercept,
    rSquared: totalSumOfSquares === 0 ? 1 : 1 - sum(residuals.map((residual) => residual ** 2)) / totalSumOfSquares,
    worstError: largest === 0 ? 0 : Math.max(...residuals.map(Math.abs)) / largest
  }
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

function mean (values: readonly number[]): number {
  return sum(values) / values.length
}
