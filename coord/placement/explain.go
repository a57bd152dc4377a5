package placement

import (
	"reflect"
	"sort"
)

// ScorePart is the score that one scorer gives a candidate. Scorer is the name of
// the scorer's type.
type ScorePart struct {
	Scorer string  `json:"scorer"`
	Score  float64 `json:"score"`
}

// Explanation describes how a stage evaluates a candidate.
type Explanation struct {
	Candidate Candidate
	// RefusedBy is the name of the filter type that dropped the candidate; empty if
	// none did.
	RefusedBy string
	// Parts are the scores and Score is their sum. Both are zero for a refused
	// candidate.
	Parts []ScorePart
	Score float64
}

// Explain returns how the deciding stage evaluates each candidate: the best first,
// the refused ones last. The Picker must have a stage.
func (p *Picker) Explain(q Query, candidates []Candidate) []Explanation {
	stage := p.decidingStage(q, candidates)
	explanations := make([]Explanation, len(candidates))
	for i, c := range candidates {
		explanations[i] = stage.explain(q, c)
	}
	sort.SliceStable(explanations, func(i, j int) bool {
		a, b := explanations[i], explanations[j]
		if (a.RefusedBy == "") != (b.RefusedBy == "") {
			return a.RefusedBy == ""
		}
		return a.Score > b.Score
	})
	return explanations
}

// decidingStage returns the first stage that keeps a candidate, or else the last
// stage.
func (p *Picker) decidingStage(q Query, candidates []Candidate) Stage {
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
			e.RefusedBy = typeName(f)
			return e
		}
	}
	for _, scorer := range s.Scorers {
		part := ScorePart{Scorer: typeName(scorer), Score: scorer.Score(q, c)}
		e.Parts = append(e.Parts, part)
		e.Score += part.Score
	}
	return e
}

// typeName returns the name of v's type. It identifies filters and scorers in
// explanations.
func typeName(v any) string { return reflect.Indirect(reflect.ValueOf(v)).Type().Name() }
