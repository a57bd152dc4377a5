package direct

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/balance"
)

// admission refuses requests that would be answered too late.
type admission struct {
	// deadlineShare is the part of the remaining time that the first byte may
	// take by the estimate.
	deadlineShare float64
}

// defaultAdmission leaves room for the estimate's error.
func defaultAdmission() admission { return admission{deadlineShare: 0.8} }

// refuse returns a refusal where the estimate exceeds what the request has left.
func (a admission) refuse(c *call, choice balance.Choice) *failure {
	timeLeft := c.timeLeft()
	if choice.Estimate <= time.Duration(a.deadlineShare*float64(timeLeft)) {
		return nil
	}
	return &failure{reason: "the estimated wait exceeds the time left", retryAfter: min(choice.Estimate/2, timeLeft/3)}
}
