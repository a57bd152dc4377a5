// Package loadgen sends a bounded load of completions to entry instances and
// measures how they are answered, by rank.
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

// Config describes a load.
type Config struct {
	// Entries are the callers' addresses that take requests in turn.
	Entries []string
	// Prefix, Adapters and Version name the adapters: prefix0000@version on.
	Prefix   string
	Adapters int
	Version  string
	// Rate is the number of requests begun in a second.
	Rate float64
	// Duration is how long requests are begun.
	Duration time.Duration
	// Concurrency bounds the requests in progress; one that finds no room is
	// held back and counted.
	Concurrency int
	// Skew is the exponent of the Zipf law by which adapters are chosen, above
	// 1. Higher makes the first adapters more popular.
	Skew float64
	// Mix gives each rank its share of the requests.
	Mix Mix
	// Tokens is the length of each answer.
	Tokens int
	// Deadline is how long a caller waits.
	Deadline time.Duration
	// Seed fixes the choice of adapters and ranks.
	Seed uint64
}

// DefaultConfig returns a load for a laptop, without addresses.
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

// Limits of a load, so that a slip of the finger does no harm.
const (
	maxRate        = 100000
	maxConcurrency = 16384
	maxDuration    = time.Hour
)

// Validate returns every finding joined, or nil.
func (c Config) Validate() error {
	var findings []error
	find := func(wrong bool, format string, args ...any) {
		if wrong {
			findings = append(findings, fmt.Errorf(format, args...))
		}
	}
	find(len(c.Entries) == 0, "name at least one entry")
	for _, entry := range c.Entries {
		_, err := netip.ParseAddrPort(entry)
		find(err != nil, "%q is not an IP address and port", entry)
	}
	find(c.Adapters < 1, "adapters must be at least 1")
	find(c.Rate <= 0 || c.Rate > maxRate, "rate must be above 0 and at most %d", maxRate)
	find(c.Duration <= 0 || c.Duration > maxDuration, "duration must be above 0 and at most %s", maxDuration)
	find(c.Concurrency < 1 || c.Concurrency > maxConcurrency, "concurrency must be from 1 to %d", maxConcurrency)
	find(c.Skew <= 1, "skew must be above 1")
	find(c.Tokens < 1, "tokens must be at least 1")
	find(c.Deadline < time.Millisecond, "deadline must be at least 1ms")
	find(c.Mix.total() == 0, "the mix of ranks is empty")
	return errors.Join(findings...)
}

// Mix is the weight of each rank.
type Mix [table.RankCount]int

func (m Mix) total() int {
	total := 0
	for _, weight := range m {
		total += weight
	}
	return total
}

// rank returns the rank of the n-th part of the mix, below its total.
func (m Mix) rank(n int) table.Rank {
	for i, weight := range m {
		if n < weight {
			return table.Ranks[i]
		}
		n -= weight
	}
	return table.Patient
}

// String returns urgent=1,normal=3,patient=6.
func (m Mix) String() string {
	parts := make([]string, len(m))
	for i, weight := range m {
		parts[i] = fmt.Sprintf("%s=%d", table.Ranks[i], weight)
	}
	return strings.Join(parts, ",")
}

// Set reads what String returns; ranks that are not named have no share.
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
