// Package loadgen sends completion requests to entry instances at a bounded rate
// and concurrency and measures outcomes and latencies by rank.
package loadgen

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Config describes the load to generate.
type Config struct {
	// Entries are the addresses (IP:port) of the entry instances' listeners for
	// callers, used in turn.
	Entries []string
	// Prefix, Adapters and Version form the names of the adapters, from
	// <Prefix>0000@<Version> on; Adapters is their number.
	Prefix   string
	Adapters int
	Version  string
	// Rate is the number of requests started per second.
	Rate float64
	// Duration is how long new requests are started.
	Duration time.Duration
	// Concurrency is the maximum number of requests in progress. A request above
	// it is not sent and counts in Report.Skipped.
	Concurrency int
	// Skew is the exponent of the Zipf distribution from which adapters are
	// drawn. It must be above 1; the higher, the more popular the first adapters.
	Skew float64
	// Mix is the weight of each rank among the requests.
	Mix Mix
	// Tokens is the max_tokens of each request.
	Tokens int
	// Deadline is how long a caller waits for a response; each request carries it.
	Deadline time.Duration
	// Seed is the seed of the random choice of adapters and ranks.
	Seed uint64
}

// DefaultConfig returns a load suited to a laptop, with no Entries.
func DefaultConfig() Config {
	return Config{
		Prefix:      "tolk-",
		Adapters:    3000,
		Version:     "v1",
		Rate:        20,
		Duration:    10 * time.Second,
		Concurrency: 256,
		Skew:        1.2,
		Mix:         Mix{1, 3, 6},
		Tokens:      16,
		Deadline:    30 * time.Second,
		Seed:        1,
	}
}

// Upper limits, so that a mistyped flag cannot cause an excessive load.
const (
	maxRate        = 100000 // requests per second
	maxConcurrency = 16384
	maxDuration    = time.Hour
)

// Validate returns all invalid settings as one joined error, or nil.
func (c Config) Validate() error {
	var findings []error
	check := func(wrong bool, format string, args ...any) {
		if wrong {
			findings = append(findings, fmt.Errorf(format, args...))
		}
	}
	check(len(c.Entries) == 0, "name at least one entry")
	for _, entry := range c.Entries {
		_, err := netip.ParseAddrPort(entry)
		check(err != nil, "%q is not an IP address and port", entry)
	}
	check(c.Adapters < 1, "adapters must be at least 1")
	check(c.Rate <= 0 || c.Rate > maxRate, "rate must be above 0 and at most %d", maxRate)
	check(c.Duration <= 0 || c.Duration > maxDuration, "duration must be above 0 and at most %s", maxDuration)
	check(c.Concurrency < 1 || c.Concurrency > maxConcurrency, "concurrency must be from 1 to %d", maxConcurrency)
	check(c.Skew <= 1, "skew must be above 1")
	check(c.Tokens < 1, "tokens must be at least 1")
	check(c.Deadline < time.Millisecond, "deadline must be at least 1ms")
	check(c.Mix.total() == 0, "the mix of ranks is empty")
	return errors.Join(findings...)
}

// Mix holds the weight of each rank. It implements pflag.Value.
type Mix [table.RankCount]int

func (m Mix) total() int {
	total := 0
	for _, weight := range m {
		total += weight
	}
	return total
}

// rank maps n, from 0 to below the total weight, to a rank.
func (m Mix) rank(n int) table.Rank {
	for i, weight := range m {
		if n < weight {
			return table.Ranks[i]
		}
		n -= weight
	}
	return table.Patient
}

// String returns the weights in the form urgent=1,normal=3,patient=6.
func (m Mix) String() string {
	parts := make([]string, len(m))
	for i, weight := range m {
		parts[i] = fmt.Sprintf("%s=%d", table.Ranks[i], weight)
	}
	return strings.Join(parts, ",")
}

// Set parses the form that String returns. Ranks that are not named get weight
// 0. On an error the mix is unchanged.
func (m *Mix) Set(text string) error {
	var mix Mix
	for _, part := range strings.Split(text, ",") {
		name, weight, _ := strings.Cut(part, "=")
		rank, err := table.ParseRank(name)
		if err != nil {
			return err
		}
		n, err := strconv.Atoi(weight)
		if err != nil || n < 0 {
			return fmt.Errorf("weight %q of %s is not a whole number from 0", weight, rank)
		}
		mix[rank] = n
	}
	*m = mix
	return nil
}

// Type implements pflag.Value.
func (m *Mix) Type() string { return "rank=weight,..." }
