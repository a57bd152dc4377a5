package fairshare

import "github.com/bulrushwick/bulrushwick/coord/routing"

// Shares compares the use of organisations with their shares. The zero value knows no
// organisation. It is not changed once it is made.
type Shares struct {
	ratios map[string]float64
}

// shareSlack is added to every share, as a fraction of all work. The use of a small
// organisation consists of few requests and varies by chance: without the slack one kept
// 0.946 in a simulated flood by another, with it 0.998.
const shareSlack = 0.02

// NewShares returns the shares for the uses of all instances together. An organisation
// without a weight has weight 1.
func NewShares(uses map[string]Use, weights map[string]float64) Shares {
	weightOf := func(organisation string) float64 {
		if w := weights[organisation]; w > 0 {
			return w
		}
		return 1
	}
	used, weight := 0.0, 0.0
	for organisation, use := range uses {
		used += use.total()
		weight += weightOf(organisation)
	}
	ratios := make(map[string]float64, len(uses))
	for organisation, use := range uses {
		if used > 0 {
			share := weightOf(organisation)/weight + shareSlack
			ratios[organisation] = use.total() / used / share
		}
	}
	return Shares{ratios: ratios}
}

// Ratio returns an organisation's use relative to its share of the work of all active
// organisations: 1 at its share, 0 if it uses nothing.
func (s Shares) Ratio(organisation string) float64 { return s.ratios[organisation] }

// CountAbove returns the number of organisations above their share.
func (s Shares) CountAbove() int {
	above := 0
	for _, ratio := range s.ratios {
		if ratio > shareMargin {
			above++
		}
	}
	return above
}

// nominalRequestTokens is the size of a request of an organisation whose quota counts
// requests, to compare the quota with those that count tokens: between the usual sizes of
// 200 and 2,400 tokens.
const nominalRequestTokens = 1000

// Weights returns the weights of organisations: their quota rates relative to the mean. An
// organisation without a quota has weight 1. Quotas are set in proportion to the usual
// demand. With equal weights a flood by a small organisation would be at the cost of the
// large ones until it exceeded them.
func Weights(organisations []routing.Organisation) map[string]float64 {
	rates := make(map[string]float64, len(organisations))
	sum := 0.0
	for i := range organisations {
		o := &organisations[i]
		rate := o.Rate
		if o.Unit != routing.QuotaTokens {
			rate *= nominalRequestTokens
		}
		if rate > 0 {
			rates[o.Name] = rate
			sum += rate
		}
	}
	for name, rate := range rates {
		rates[name] = rate * float64(len(rates)) / sum
	}
	return rates
}
