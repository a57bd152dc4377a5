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
	// RefusedBy names the filter of the deciding stage that dropped the
	// candidate; empty for none.
	RefusedBy string
	// Parts are the scores and Score is their sum; none for a refused candidate.
	Parts []ScorePart
	Score float64
}

// Explain returns how each candidate fares in the stage that decides, best first
// and refused ones last.
func (p *Picker) Explain(q Query, candidates []Candidate) []Explanation {
	stage := p.deciding(q, candidates)
	explained := make([]Explanation, len(candidates))
	for i, c := range candidates {
		explained[i] = stage.explain(q, c)
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

// deciding returns the first stage that keeps a candidate, or the last.
func (p *Picker) deciding(q Query, candidates []Candidate) Stage {
	for _, stage := range p.Stages {
		if _, found := stage.pick(q, candidates); found {
			return stage
		}
	}
	return p.Stages[len(p.Stages)-1]
}

func (s Stage) explain(q Query, c Candidate) Explanation {
	e := Explanation{Candidate: c}
	for _, f := range s.Filters {
		if !f.Keep(q, c) {
			e.RefusedBy = nameOf(f)
			return e
		}
	}
	for _, scorer := range s.Scorers {
		part := ScorePart{Scorer: nameOf(scorer), Score: scorer.Score(q, c)}
		e.Parts = append(e.Parts, part)
		e.Score += part.Score
	}
	return e
}

// nameOf returns the type's name, by which filters and scorers are known.
func nameOf(v any) string { return reflect.Indirect(reflect.ValueOf(v)).Type().Name() }
