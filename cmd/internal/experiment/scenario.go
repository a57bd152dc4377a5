package experiment

import (
	"bytes"
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/bulrushwick/bulrushwick/cmd/internal/deployment"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

//go:embed scenarios/*.json
var embedded embed.FS

// Scenario describes one experiment: a deployment, its service times, the
// traffic and the faults.
type Scenario struct {
	// Name identifies the scenario in results.
	Name string `json:"name"`
	// Deployment is "silttolge" or "suzgec".
	Deployment string `json:"deployment"`
	// Seconds is the length of the trace, in seconds of virtual time.
	Seconds float64 `json:"seconds"`
	// Seeds are the seeds of the traces; each policy runs once per seed.
	Seeds []uint64 `json:"seeds"`
	// Service holds the service times and limits of the simulated components.
	Service Service `json:"service"`
	// Traffic describes the arrivals.
	Traffic Traffic `json:"traffic"`
	// Events are the popularity shifts, floods and faults.
	Events []Event `json:"events,omitempty"`
	// Phases are the spans of arrival times for which results are reported.
	Phases []Phase `json:"phases"`
}

// Service holds the constants of the engines, the weight store and the network.
type Service struct {
	// StepMs is the duration of an engine step with an empty batch, in milliseconds.
	StepMs float64 `json:"stepMs"`
	// StepPerRequestMs is added to it for each request in the batch, in milliseconds.
	StepPerRequestMs float64 `json:"stepPerRequestMs"`
	// LoadMs is the duration of one load at full speed, in milliseconds.
	LoadMs float64 `json:"loadMs"`
	// FullSpeedLoads is the number of loads in transit up to which each runs at
	// full speed; beyond it, load times grow in proportion.
	FullSpeedLoads int `json:"fullSpeedLoads"`
	// LoadsPerSecond is the rate limit of the weight store.
	LoadsPerSecond float64 `json:"loadsPerSecond"`
	// CallerMs, DataCentreMs and RegionMs are the one-way latencies between caller
	// and entry, within a region and between regions, in milliseconds.
	CallerMs     float64 `json:"callerMs"`
	DataCentreMs float64 `json:"dataCentreMs"`
	RegionMs     float64 `json:"regionMs"`
	// Entries is the number of entry instances.
	Entries int `json:"entries"`
	// ReportMs is the interval between load reports, in milliseconds.
	ReportMs float64 `json:"reportMs"`
	// RequestBytes and TokenBytes are the sizes of a request and of a response
	// token on a link.
	RequestBytes int `json:"requestBytes"`
	TokenBytes   int `json:"tokenBytes"`
	// LinkBytesPerSecond is the capacity of the link between regions, in each
	// direction.
	LinkBytesPerSecond float64 `json:"linkBytesPerSecond"`
}

// Traffic describes the arrivals.
type Traffic struct {
	// Adapters is the number of adapters that requests name.
	Adapters int `json:"adapters"`
	// Skew is the exponent of the adapters' Zipf popularity.
	Skew float64 `json:"skew"`
	// MeanTokens is the mean length of a response, in tokens.
	MeanTokens float64 `json:"meanTokens"`
	// MaxTokens is the maximum length of a response, in tokens.
	MaxTokens int `json:"maxTokens"`
	// Ranks holds the arrivals of each rank; in JSON the key is the rank's name.
	Ranks map[table.Rank]RankTraffic `json:"ranks"`
}

// RankTraffic describes the arrivals of one rank. They come in groups; the
// requests of a group name the same adapter and come from the same caller.
type RankTraffic struct {
	// RequestsPerSecond is the mean rate of requests.
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	// GroupSize is the mean number of requests in a group.
	GroupSize float64 `json:"groupSize"`
	// GroupGapMs is the mean time between two requests of a group, in
	// milliseconds.
	GroupGapMs float64 `json:"groupGapMs"`
	// DeadlineMs is the time from arrival within which a request must be complete,
	// in milliseconds.
	DeadlineMs float64 `json:"deadlineMs"`
}

// EventKind selects the effect of an event.
type EventKind string

// Kinds of event.
const (
	// Shift changes adapter popularity at From: each adapter among the most popular
	// Share swaps its popularity position with a randomly chosen adapter.
	Shift EventKind = "shift"
	// Flood raises the arrival rate of Rank from From to To so that the total rate
	// over all ranks is Factor times the normal total.
	Flood EventKind = "flood"
	// Restart stops the worker with the index Worker at From and starts it, without
	// adapters, at To.
	Restart EventKind = "restart"
	// StoreFails makes a Share of the loads that begin between From and To fail.
	StoreFails EventKind = "storeFails"
	// DataCentreLost stops the workers and entries of DataCentre from From to To.
	DataCentreLost EventKind = "dataCentreLost"
	// RegionCut partitions the network between the regions from From to To.
	RegionCut EventKind = "regionCut"
)

// Event is a change during a run. Times are in seconds from the start.
type Event struct {
	Kind       EventKind  `json:"kind"`
	From       float64    `json:"from"`
	To         float64    `json:"to,omitempty"`
	Share      float64    `json:"share,omitempty"`
	Rank       table.Rank `json:"rank,omitempty"`
	Factor     float64    `json:"factor,omitempty"`
	Worker     int        `json:"worker,omitempty"`
	DataCentre string     `json:"dataCentre,omitempty"`
}

// Phase is a span of arrival times, in seconds from the start; To is exclusive.
type Phase struct {
	Name string  `json:"name"`
	From float64 `json:"from"`
	To   float64 `json:"to"`
}

// Load reads an embedded scenario by its name, or else a scenario file. An error
// carries the code scenario_unreadable, scenario_malformed or scenario_invalid.
func Load(nameOrFile string) (Scenario, error) {
	data, err := embedded.ReadFile("scenarios/" + nameOrFile + ".json")
	if errors.Is(err, fs.ErrNotExist) {
		data, err = os.ReadFile(nameOrFile)
	}
	if err != nil {
		return Scenario{}, oops.Code("scenario_unreadable").With("scenario", nameOrFile).Wrap(err)
	}
	return Parse(data)
}

// Names lists the names of the embedded scenarios.
func Names() []string {
	files, err := embedded.ReadDir("scenarios")
	if err != nil {
		return nil
	}
	var names []string
	for _, file := range files {
		names = append(names, strings.TrimSuffix(file.Name(), ".json"))
	}
	return names
}

// Parse decodes a scenario and validates it. Unknown fields are an error; the
// findings of Validate are returned together.
func Parse(data []byte) (Scenario, error) {
	var s Scenario
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Scenario{}, oops.Code("scenario_malformed").Wrap(err)
	}
	if err := s.Validate(); err != nil {
		return Scenario{}, oops.Code("scenario_invalid").Wrap(err)
	}
	return s, nil
}

// Validate returns all findings joined into one error, or nil.
func (s Scenario) Validate() error {
	var findings []error
	check := func(ok bool, field, message string) {
		if !ok {
			findings = append(findings, fmt.Errorf("%s: %s", field, message))
		}
	}
	_, err := s.spec()
	check(err == nil, "deployment", fmt.Sprintf("%q is not silttolge or suzgec", s.Deployment))
	check(s.Seconds > 0, "seconds", "must be above zero")
	check(len(s.Seeds) > 0, "seeds", "is empty")
	check(len(s.Phases) > 0, "phases", "is empty")
	check(s.Service.StepMs > 0, "service.stepMs", "must be above zero")
	check(s.Service.LoadMs > 0, "service.loadMs", "must be above zero")
	check(s.Service.FullSpeedLoads > 0, "service.fullSpeedLoads", "must be at least 1")
	check(s.Service.LoadsPerSecond > 0, "service.loadsPerSecond", "must be above zero")
	check(s.Service.Entries > 0, "service.entries", "must be at least 1")
	check(s.Service.ReportMs > 0, "service.reportMs", "must be above zero")
	check(s.Traffic.Adapters > 0, "traffic.adapters", "must be at least 1")
	check(s.Traffic.MeanTokens >= 1, "traffic.meanTokens", "must be at least 1")
	check(s.Traffic.MaxTokens >= 1, "traffic.maxTokens", "must be at least 1")
	check(len(s.Traffic.Ranks) > 0, "traffic.ranks", "is empty")
	for rank, traffic := range s.Traffic.Ranks {
		check(traffic.GroupSize >= 1, "traffic.ranks."+rank.String()+".groupSize", "must be at least 1")
		check(traffic.DeadlineMs > 0, "traffic.ranks."+rank.String()+".deadlineMs", "must be above zero")
	}
	return errors.Join(findings...)
}

func (s Scenario) spec() (deployment.Spec, error) {
	for _, spec := range []deployment.Spec{deployment.Silttolge(), deployment.Suzgec()} {
		if spec.Name == s.Deployment {
			return spec, nil
		}
	}
	return deployment.Spec{}, fmt.Errorf("unknown deployment %q", s.Deployment)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
