package cost

// Estimate is an estimate of the logarithm of a factor. Independent estimates add up.
type Estimate struct {
	// Precision is the inverse of the variance, and Sum the mean times the precision.
	Sum, Precision float64
}

// NewEstimate returns an estimate from its mean and the inverse of its variance.
func NewEstimate(mean, precision float64) Estimate {
	return Estimate{Sum: mean * precision, Precision: precision}
}

// Plus combines two independent estimates.
func (e Estimate) Plus(other Estimate) Estimate {
	return Estimate{Sum: e.Sum + other.Sum, Precision: e.Precision + other.Precision}
}

// Mean returns the mean; 0 if nothing is known.
func (e Estimate) Mean() float64 {
	if e.Precision <= 0 {
		return 0
	}
	return e.Sum / e.Precision
}

// significant returns a mean reduced by its uncertainty: 0 unless it differs from 0 by
// more than thresholdDeviations standard errors. The reduction vanishes for large
// differences, unlike that of a constant subtraction.
func significant(mean, precision float64) float64 {
	if mean*mean*precision <= thresholdDeviations*thresholdDeviations {
		return 0
	}
	return mean - thresholdDeviations*thresholdDeviations/(mean*precision)
}
