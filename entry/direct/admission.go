package direct

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/balance"
)

// admission refuses requests that would be answered after their deadline.
type admission struct {
	// deadlineShare is the fraction of the remaining time that the wait for
	// the first byte may take.
	deadlineShare float64
}

// defaultAdmission leaves a fifth of the remaining time for errors of the
// estimate.
func defaultAdmission() admission { return admission{deadlineShare: 0.8} }

// refuse returns a failure if the expected wait exceeds the request's share of the
// remaining time, and nil otherwise.
func (a admission) refuse(c *call, choice balance.Choice) *failure {
	timeLeft := c.timeLeft()
	if choice.Wait <= time.Duration(a.deadlineShare*float64(timeLeft)) {
		return nil
	}
	return &failure{reason: "the estimated wait exceeds the time left", retryAfter: min(choice.Wait/2, timeLeft/3)}
}
