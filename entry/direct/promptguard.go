package direct

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/quarantine"
	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
	"github.com/bulrushwick/bulrushwick/entry/decision"
	"github.com/bulrushwick/bulrushwick/entry/recovery"
)

// promptGuard keeps requests away from workers if a part of their prompt crashes
// workers. It is safe for concurrent use.
type promptGuard struct {
	log *decision.Log
	// canConnect reports whether a worker accepts connections.
	canConnect func(ctx context.Context, address string) bool
	// reportPanic is set before the first request.
	reportPanic recovery.Reporter

	mu       sync.Mutex
	detector *quarantine.Detector
	// checks holds the recent checks whether a worker crashed, by process.
	checks map[string]*crashCheck
}

// crashCheck is a check whether a worker crashed.
type crashCheck struct {
	expiresAt     time.Duration
	done, crashed bool
	// waiting holds the parts of the requests that wait for the result.
	waiting [][]quarantine.Part
}

// Limits of checks whether a worker crashed.
const (
	// crashCheckTimeout bounds a check; a connection to another region takes two
	// round trips.
	crashCheckTimeout = 500 * time.Millisecond
	// crashCheckTTL is how long the result of a check is used. Workers take longer
	// to restart.
	crashCheckTTL = time.Second
)

func newPromptGuard(log *decision.Log, canConnect func(context.Context, string) bool) *promptGuard {
	config := quarantine.DefaultConfig()
	config.TrialOffset = rand.Float64()
	return &promptGuard{
		log: log, canConnect: canConnect, checks: make(map[string]*crashCheck), detector: quarantine.NewDetector(config),
	}
}

// admit decides whether a request with these parts may be sent to a worker.
func (g *promptGuard) admit(parts []quarantine.Part) quarantine.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.Admit(now(), parts)
}

// preview returns what admit would decide.
func (g *promptGuard) preview(parts []quarantine.Part) quarantine.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.Preview(now(), parts)
}

// suspect reports whether a request with these parts should not be sent again.
func (g *promptGuard) suspect(parts []quarantine.Part) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.Suspect(parts)
}

// quarantinedParts returns the number of parts in quarantine.
func (g *promptGuard) quarantinedParts() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.Quarantined()
}

// recordSuccess records that a response to a request with these parts began.
func (g *promptGuard) recordSuccess(parts []quarantine.Part) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.logChanges(g.detector.RecordSuccess(now(), parts))
}

// reportBroken records that the connection to a worker ended before the worker began
// to respond to a request with these parts. It counts as a crash if the worker does
// not accept connections any more, which is checked in the background.
func (g *promptGuard) reportBroken(w worker.Worker, parts []quarantine.Part) {
	if len(parts) == 0 {
		return
	}
	at, process := now(), fmt.Sprintf("%s@%d", w.ID, w.Born)
	g.mu.Lock()
	defer g.mu.Unlock()
	check := g.checks[process]
	switch {
	case check == nil || check.done && at >= check.expiresAt:
		check = &crashCheck{waiting: [][]quarantine.Part{parts}}
		g.checks[process] = check
		go recovery.Run(g.reportPanic, "crash check", func() { g.check(check, process, w) })
	case !check.done:
		check.waiting = append(check.waiting, parts)
	case check.crashed:
		g.logChanges(g.detector.RecordCrash(at, process, parts))
	}
}

func (g *promptGuard) check(check *crashCheck, process string, w worker.Worker) {
	began := now()
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	crashed := !g.canConnect(ctx, w.Address)
	g.mu.Lock()
	defer g.mu.Unlock()
	at := now()
	check.done, check.crashed, check.expiresAt = true, crashed, at+crashCheckTTL
	for other, c := range g.checks {
		if c.done && at >= c.expiresAt {
			delete(g.checks, other)
		}
	}
	if !crashed {
		return
	}
	g.log.Line(decision.WorkerCrashed).Str(decision.FieldWorker, w.ID).Int64(decision.FieldBorn, w.Born).
		Int(decision.FieldRequests, len(check.waiting)).Dur(decision.FieldTookMS, at-began).Send()
	for _, parts := range check.waiting {
		g.logChanges(g.detector.RecordCrash(began, process, parts))
	}
	check.waiting = nil
}

// logChanges logs the parts that were quarantined or released.
func (g *promptGuard) logChanges(changes []quarantine.Change) {
	for _, c := range changes {
		event := decision.PartReleased
		if c.Quarantined {
			event = decision.PartQuarantined
		}
		g.log.Line(event).Str(decision.FieldPart, fmt.Sprintf("%016x", uint64(c.Part))).
			Int(decision.FieldQuarantined, g.detector.Quarantined()).Send()
	}
}

// appendUpdate adds the evidence and the quarantines to an update for peers.
func (g *promptGuard) appendUpdate(at time.Duration, update *clusterpb.News) {
	g.mu.Lock()
	own := g.detector.Update(at)
	g.mu.Unlock()
	for _, c := range own.Crashes {
		encoded := &clusterpb.WorkerCrash{Worker: c.Worker, AgeMs: toMilliseconds(at - c.At)}
		for part, depth := range c.Depths {
			encoded.Parts = append(encoded.Parts, &clusterpb.CrashPart{Part: uint64(part), Depth: uint32(depth), Cleared: c.Cleared[part]})
		}
		update.Crashes = append(update.Crashes, encoded)
	}
	for _, q := range own.Quarantines {
		update.Quarantines = append(update.Quarantines, &clusterpb.PartQuarantine{
			Part: uint64(q.Part), Episode: uint32(q.Episode), Released: q.Released, Trials: uint32(q.Trials), TrialAgeMs: toMilliseconds(at - q.LastTrial),
		})
	}
}

// applyUpdate merges what a peer sent.
func (g *promptGuard) applyUpdate(at time.Duration, update *clusterpb.News) {
	if len(update.GetCrashes())+len(update.GetQuarantines()) == 0 {
		return
	}
	var decoded quarantine.Update
	for _, c := range update.GetCrashes() {
		crash := quarantine.Crash{
			Worker: c.GetWorker(), At: at - fromMilliseconds(c.GetAgeMs()),
			Depths: make(map[quarantine.Part]int, len(c.GetParts())), Cleared: make(map[quarantine.Part]bool),
		}
		for _, p := range c.GetParts() {
			crash.Depths[quarantine.Part(p.GetPart())] = int(p.GetDepth())
			if p.GetCleared() {
				crash.Cleared[quarantine.Part(p.GetPart())] = true
			}
		}
		decoded.Crashes = append(decoded.Crashes, crash)
	}
	for _, q := range update.GetQuarantines() {
		decoded.Quarantines = append(decoded.Quarantines, quarantine.Quarantine{
			Part: quarantine.Part(q.GetPart()), Episode: int(q.GetEpisode()), Released: q.GetReleased(),
			Trials: int(q.GetTrials()), LastTrial: at - fromMilliseconds(q.GetTrialAgeMs()),
		})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.logChanges(g.detector.Merge(at, decoded))
}

func toMilliseconds(d time.Duration) uint32 { return uint32(max(d.Milliseconds(), 0)) }

func fromMilliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
