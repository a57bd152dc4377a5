package replica_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/coord/table/replica"
)

const seed = 20261204

// inForceWithin is the required bound from publication to a table in force at every
// instance.
const inForceWithin = 8 * time.Second

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", fmt.Sprint(seed)); err != nil {
		panic(err)
	}
	fmt.Println("seed", seed)
	os.Exit(m.Run())
}

// withConfig returns a factory of replicas with changed settings.
func withConfig(change func(*replica.Config)) func(string, string, *rand.Rand) node {
	return func(self, dataCentre string, random *rand.Rand) node {
		config := replica.DefaultConfig(self, dataCentre, random)
		change(&config)
		return replica.New(config)
	}
}

var correct = withConfig(func(*replica.Config) {})

// runSteps runs a sequence of faults and returns the violations: stamps that
// decreased, tables mixed from several revisions, and instances that are behind
// 8 s after all faults ended and a last change.
func runSteps(factory func(string, string, *rand.Rand) node, seed uint64, steps []step) []string {
	w := newWorld(seed, 3, 4, factory)
	w.drop, w.duplicate = 0.05, 0.05
	revision := uint64(1)
	w.publish(revision, "r1", false, w.dataCentres()...)
	w.run(time.Second)
	for i, s := range steps {
		dataCentre := w.dataCentres()[s.where%3]
		in := w.instances[s.where%len(w.instances)]
		p := w.platforms[dataCentre]
		switch s.kind {
		case "publish":
			revision++
			w.publish(revision, fmt.Sprintf("r%d", revision), false, w.dataCentres()...)
		case "bad":
			revision++
			w.publish(revision, fmt.Sprintf("r%d", revision), true, w.dataCentres()...)
		case "twin": // another table with the same revision, in one data centre only
			w.publish(revision, fmt.Sprintf("twin%d", i), false, dataCentre)
		case "restart":
			w.start(in)
		case "kill":
			w.kill(in)
		case "stale":
			p.stale = !p.stale
		case "down":
			p.down = !p.down
		case "silent":
			p.silent = !p.silent
		case "cut":
			w.partitionSide[dataCentre] = 1 - w.partitionSide[dataCentre]
		case "mute":
			w.muted[dataCentre] = !w.muted[dataCentre]
		case "freeze":
			in.frozenUntil = w.now + 5*time.Second
		}
		w.run(s.wait)
	}
	return append(w.violations, w.heal(revision+1)...)
}

// heal ends every fault except that platforms other than dc-0's may stay down or
// stale, publishes once more at dc-0 alone, and returns the instances that are
// behind 8 s later.
func (w *world) heal(revision uint64) []string {
	clear(w.partitionSide)
	clear(w.muted)
	for _, in := range w.instances {
		in.frozenUntil = min(in.frozenUntil, w.now)
		if !in.alive {
			w.start(in)
		}
	}
	first := w.platforms["dc-0"]
	first.down, first.stale = false, false
	w.run(silentAfter)
	last := w.publish(revision, "last", false, "dc-0")
	w.run(inForceWithin)
	var late []string
	for _, name := range w.behind(last) {
		late = append(late, name+" is behind")
	}
	return late
}

type step struct {
	kind  string
	where int
	wait  time.Duration
}

var kinds = []string{"publish", "publish", "bad", "twin", "restart", "kill", "stale", "down", "silent", "cut", "mute", "freeze"}

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			where: rapid.IntRange(0, 11).Draw(t, "where"),
			wait:  time.Duration(rapid.IntRange(0, 3000).Draw(t, "waitMs")) * time.Millisecond,
		}
	}), 1, 12).Draw(t, "steps")
}

func TestNeverFallsNeverMixesAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		network := rapid.Uint64().Draw(t, "network")
		require.Empty(t, runSteps(correct, network, drawSteps(t)))
	})
}

// TestBrokenVariantsAreFound runs the same check on variants that lack one
// mechanism each. It guards against a check that finds nothing.
func TestBrokenVariantsAreFound(t *testing.T) {
	skewed := []step{{"publish", 0, 0}, {"publish", 0, 5 * time.Millisecond}, {"publish", 0, time.Second}}
	stale := []step{{"stale", 1, 0}, {"publish", 0, 3 * time.Second}, {"silent", 0, 9 * time.Second}}
	silent := []step{{"silent", 0, 6 * time.Second}}
	variants := map[string]struct {
		factory func(string, string, *rand.Rand) node
		steps   []step
		want    string
	}{
		"without digest comparison": {pollerFactory(false), skewed, "installed a mix"},
		"last read value wins":      {pollerFactory(true), stale, "went from"},
		"without peer queries":      {withConfig(func(c *replica.Config) { c.QueryInterval, c.Fanout, c.JoinPeers = time.Hour, 0, 0 }), stale, "is behind"},
		"long watch, one reader": {withConfig(func(c *replica.Config) {
			c.Readers, c.WatchWait = 1, time.Hour
		}), silent, "is behind"},
	}
	for name, v := range variants {
		t.Run(name, func(t *testing.T) {
			found := ""
			for network := range uint64(20) {
				found += fmt.Sprint(runSteps(v.factory, network, v.steps))
				require.Empty(t, runSteps(correct, network, v.steps), "network %d", network)
			}
			require.Contains(t, found, v.want)
		})
	}
}

// TestNewInstanceAsksPeersBeforeAStalePlatform restarts an instance whose platform
// serves an old revision. The instance must not install it before its peers have
// responded. Each network seed gives another order of messages.
func TestNewInstanceAsksPeersBeforeAStalePlatform(t *testing.T) {
	firstAfterRestart := func(factory func(string, string, *rand.Rand) node, network uint64) table.Stamp {
		w := newWorld(network, 1, 4, factory)
		p := w.platforms["dc-0"]
		w.publish(1, "r1", false, "dc-0")
		w.run(3 * time.Second)
		w.publish(2, "r2", false, "dc-0")
		w.run(3 * time.Second)
		staleChunks := content([chunkCount]string{"r1", "r1", "r1", "r1"}, false)
		stale := table.Manifest{Revision: 1}
		for i := range chunkCount {
			key := fmt.Sprintf("c/%d", i)
			stale.Chunks = append(stale.Chunks, table.ChunkRef{Key: key, Digest: table.Digest(staleChunks[key])})
		}
		w.published[1] = append(w.published[1], toStrings(staleChunks))
		p.chunks, p.manifest = staleChunks, stale.Encode()
		in := w.instances[int(network)%4]
		w.start(in)
		for in.inForce == nil {
			w.run(time.Millisecond)
		}
		require.Empty(t, w.violations)
		return in.inForce.Stamp()
	}
	withoutQueries := withConfig(func(c *replica.Config) { c.JoinPeers, c.JoinWait = 0, 0 })
	staleInstalls := 0
	for network := range uint64(40) {
		require.EqualValues(t, 2, firstAfterRestart(correct, network).Revision, "network %d", network)
		if firstAfterRestart(withoutQueries, network).Revision == 1 {
			staleInstalls++
		}
	}
	require.Positive(t, staleInstalls, "the variant without peer queries must be detected")
}

// TestInForceAtFullSize publishes a change at the platform of one data centre only,
// with up to 12 data centres of 81 instances each.
func TestInForceAtFullSize(t *testing.T) {
	for _, per := range []int{5, 20, 81} {
		w := newWorld(seed, 12, per, correct)
		w.drop = 0.01
		w.publish(1, "r1", false, w.dataCentres()...)
		w.run(20 * time.Second)
		calls := w.platformCalls()
		queriesBefore, fetchesBefore := w.peerCalls()
		stamp := w.publish(2, "r2", false, "dc-0")
		start := w.now
		for len(w.behind(stamp)) > 0 && w.now-start < inForceWithin {
			w.run(tickEvery)
		}
		took := w.now - start
		require.Empty(t, w.behind(stamp))
		w.run(time.Minute - took)
		perSecond := float64(w.platformCalls()-calls) / time.Minute.Seconds()
		queriesAfter, fetchesAfter := w.peerCalls()
		w.run(time.Minute)
		queriesLater, _ := w.peerCalls()
		t.Logf("%d instances: in force after %s; %.1f platform calls/s; per instance %.2f queries/s, and %.1f more queries and %.1f fetches for a change",
			len(w.instances), took, perSecond, (queriesLater-queriesAfter)/60, queriesAfter-queriesBefore-(queriesLater-queriesAfter), fetchesAfter-fetchesBefore)
		require.Empty(t, w.violations)
		require.Less(t, perSecond, float64(12*replica.DefaultConfig("", "", nil).Readers), "calls must grow only with the number of data centres")
	}
}

// TestBurstIsInForceWithinTheBound publishes ten revisions per second and checks
// for each, after the bound, that it or a later one is in force everywhere.
func TestBurstIsInForceWithinTheBound(t *testing.T) {
	w := newWorld(seed, 12, 7, correct)
	w.drop = 0.01
	late, calls := 0, 0
	for revision := uint64(1); revision <= 300; revision++ {
		w.publish(revision, fmt.Sprintf("r%d", revision), false, w.dataCentres()...)
		w.after(inForceWithin, func() {
			for _, in := range w.instances {
				if in.inForce == nil || in.inForce.Revision < revision {
					late++
				}
			}
		})
		w.run(tickEvery)
	}
	calls = w.platformCalls()
	w.run(inForceWithin)
	t.Logf("%.1f platform calls/s during the burst", float64(calls)/30)
	require.Zero(t, late)
	require.Empty(t, w.violations)
}

// peerCalls returns the mean numbers of queries and fetches per instance so far.
func (w *world) peerCalls() (queries, fetches float64) {
	for _, in := range w.instances {
		queries += float64(in.queries) / float64(len(w.instances))
		fetches += float64(in.fetches) / float64(len(w.instances))
	}
	return queries, fetches
}

// platformCalls returns the number of platform calls of all instances so far.
func (w *world) platformCalls() int {
	calls := 0
	for _, in := range w.instances {
		calls += in.platformCalls
	}
	return calls
}

// poller is a broken variant of a Replica: it polls the platform and installs every
// manifest as it is read. An earlier version of the daemon worked this way.
type poller struct {
	// checkDigests reports whether chunks are compared with the manifest's digests.
	checkDigests bool
	manifest     table.Manifest
	chunks       map[string][]byte
	call         replica.Call
	keys         map[replica.Call]string
	next         time.Duration
}

func pollerFactory(digests bool) func(string, string, *rand.Rand) node {
	return func(string, string, *rand.Rand) node { return &poller{checkDigests: digests} }
}

// Step implements node.
func (r *poller) Step(now time.Duration, e replica.Event) []replica.Action {
	switch e := e.(type) {
	case replica.Tick:
		if now < r.next {
			return nil
		}
		r.next = now + time.Second
		r.call++
		return []replica.Action{replica.WatchManifest{Call: r.call, NewConnection: true}}
	case replica.ManifestRead:
		r.manifest, _ = table.ParseManifest(e.Data)
		r.chunks, r.keys = make(map[string][]byte), make(map[replica.Call]string)
		var actions []replica.Action
		for _, ref := range r.manifest.Chunks {
			r.call++
			r.keys[r.call] = ref.Key
			actions = append(actions, replica.ReadChunk{Call: r.call, Key: ref.Key})
		}
		return actions
	case replica.ChunkRead:
		if key, found := r.keys[e.Call]; found {
			r.chunks[key] = e.Data
		}
	}
	if len(r.manifest.Chunks) == 0 || len(r.chunks) < len(r.manifest.Chunks) {
		return nil
	}
	m := table.Manifest{Revision: r.manifest.Revision, Chunks: append([]table.ChunkRef(nil), r.manifest.Chunks...)}
	for i := range m.Chunks {
		if !r.checkDigests {
			m.Chunks[i].Digest = table.Digest(r.chunks[m.Chunks[i].Key])
		}
	}
	built, err := table.Build(table.Snapshot{Manifest: m, Chunks: r.chunks})
	r.manifest = table.Manifest{}
	if err != nil {
		return nil
	}
	return []replica.Action{replica.Install{Table: built}}
}
