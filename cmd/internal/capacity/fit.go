package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement.
type Point struct {
	// Size is the number of units of the line's Driver.
	Size float64 `json:"size"`
	// Value is the cost at that size, in the unit of the line's Kind.
	Value float64 `json:"value"`
}

// Fit is a straight line fitted to measurements by least squares.
type Fit struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// Residual is the largest absolute difference between a measurement and the
	// line, as a share of the largest measurement.
	Residual float64 `json:"residual"`
}

// NewFit fits a line to points, which must have at least two different sizes.
func NewFit(points []Point) Fit {
	sizes := make([]float64, len(points))
	values := make([]float64, len(points))
	for i, p := range points {
		sizes[i], values[i] = p.Size, p.Value
	}
	var f Fit
	f.Intercept, f.Slope = stat.LinearRegression(sizes, values, nil, false)
	largest, distance := 0.0, 0.0
	for _, p := range points {
		largest = math.Max(largest, math.Abs(p.Value))
		distance = math.Max(distance, math.Abs(p.Value-f.At(p.Size)))
	}
	if largest > 0 {
		f.Residual = distance / largest
	}
	return f
}

// At returns the value of the line at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }
