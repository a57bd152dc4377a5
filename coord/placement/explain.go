package placement

import (
	"reflect"
	"sort"
)

// ScorePart is what one scorer gave a candidate.
type ScorePart struct {
	Scorer string  `json:"scorer"`
	Score  float64 `json:"score"`
}

// Explanation says how a candidate fared.
type Explanation struct {
	Candidate Candidate
	// RefusedBy names the filter that dropped the candidate; empty for none.
	RefusedBy string
	// Parts are the scores and Score is their sum; none for a refused candidate.
	Parts []ScorePart
	Score float64
}

// Explain returns how each candidate fares, best first and refused ones last.
func (p *Picker) Explain(q Query, candidates []Candidate) []Explanation {
	explained := make([]Explanation, len(candidates))
	for i, c := range candidates {
		explained[i] = p.explain(q, c)
	}
	sort.SliceStable(explained, func(i, j int) bool {
		a, b := explained[i], explained[j]
		if (a.RefusedBy == "") != (b.RefusedBy == "") {
			return a.RefusedBy == ""
		}
		return a.Score > b.Score
	})
	return explained
}

func (p *Picker) explain(q Query, c Candidate) Explanation {
	e := Explanation{Candidate: c}
	for _, f := range p.Filters {
		if !f.Keep(q, c) {
			e.RefusedBy = nameOf(f)
			return e
		}
	}
	for _, s := range p.Scorers {
		part := ScorePart{Scorer: nameOf(s), Score: s.Score(q, c)}
		e.Parts = append(e.Parts, part)
		e.Score += part.Score
	}
	return e
}

// nameOf returns the type's name, by which filters and scorers are known.
func nameOf(v any) string { return reflect.Indirect(reflect.ValueOf(v)).Type().Name() }
