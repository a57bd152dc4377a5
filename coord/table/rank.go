package table

import (
	"fmt"
	"strings"
)

// Rank is the priority of a request; a smaller value is more urgent and served
// first.
type Rank uint8

// The three ranks, most urgent first.
const (
	Urgent Rank = iota
	Normal
	Patient
)

// RankCount is the number of ranks.
const RankCount = 3

// Ranks lists every rank, most urgent first.
var Ranks = [RankCount]Rank{Urgent, Normal, Patient}

var rankNames = [RankCount]string{"urgent", "normal", "patient"}

// String returns the rank's name as used in tables, headers and metrics.
func (r Rank) String() string {
	if int(r) >= len(rankNames) {
		return fmt.Sprintf("rank(%d)", uint8(r))
	}
	return rankNames[r]
}

// ParseRank parses a rank's name, regardless of case. With an error it returns
// Normal.
func ParseRank(s string) (Rank, error) {
	for i, name := range rankNames {
		if strings.EqualFold(s, name) {
			return Ranks[i], nil
		}
	}
	return Normal, fmt.Errorf("rank %q is not one of urgent, normal, patient", s)
}

// MarshalText implements encoding.TextMarshaler.
func (r Rank) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Rank) UnmarshalText(text []byte) error {
	rank, err := ParseRank(string(text))
	if err != nil {
		return err
	}
	*r = rank
	return nil
}
