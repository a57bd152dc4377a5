package routes

import (
	"bytes"
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/samber/oops"
)

//go:embed scenarios/*.json
var embedded embed.FS

// Scenario describes one experiment.
type Scenario struct {
	Name string `json:"name"`
	// Seconds is the length of the trace, and WarmUpSeconds its first part, whose
	// requests are not measured.
	Seconds       float64  `json:"seconds"`
	WarmUpSeconds float64  `json:"warmUpSeconds"`
	Seeds         []uint64 `json:"seeds"`
	// Instances and Workers are evenly spread over two regions.
	Instances int `json:"instances"`
	Workers   int `json:"workers"`
	// HeartbeatMs is the interval at which instances tell each other their requests in
	// progress.
	HeartbeatMs float64 `json:"heartbeatMs"`
	// RequestsPerSecond is the mean rate of arrivals.
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	// FastestFactor and SlowestFactor bound the time factors of workers, which are drawn
	// uniformly.
	FastestFactor float64 `json:"fastestFactor"`
	SlowestFactor float64 `json:"slowestFactor"`
	// SlowShare is the share of time in which a worker takes SlowFactor times its usual
	// time; it is drawn anew every PhaseMs.
	SlowShare  float64 `json:"slowShare"`
	SlowFactor float64 `json:"slowFactor"`
	PhaseMs    float64 `json:"phaseMs"`
	// PaceIncludesFactor makes workers state their pace relative to the usual time of
	// the service in place of their own.
	PaceIncludesFactor bool `json:"paceIncludesFactor"`
	// Adapters is the number of adapters, and Skew the exponent of their popularity.
	Adapters int     `json:"adapters"`
	Skew     float64 `json:"skew"`
	// PromptTokens is the median and PromptSpread the standard deviation of the
	// logarithm of prompt sizes, up to MaxPromptTokens.
	PromptTokens    float64 `json:"promptTokens"`
	PromptSpread    float64 `json:"promptSpread"`
	MaxPromptTokens int     `json:"maxPromptTokens"`
	SharedTokens    int     `json:"sharedTokens"`
	// ShortEvents and LongEvents are the median lengths of the two kinds of responses,
	// LongShare the share of the long ones and EventSpread the standard deviation of
	// the logarithm.
	ShortEvents float64 `json:"shortEvents"`
	LongEvents  float64 `json:"longEvents"`
	LongShare   float64 `json:"longShare"`
	EventSpread float64 `json:"eventSpread"`
	// HintSpread is the standard deviation of the logarithm of hints; 0 for no hints.
	HintSpread float64 `json:"hintSpread"`
	// RestartSeconds is when all workers get new time factors; 0 for never.
	RestartSeconds float64 `json:"restartSeconds"`
}

// Engine times and limits, as the operators specify them.
const (
	batchSize       = 64
	cacheCapacity   = 148_000
	chunkTokens     = 1024
	promptPerMS     = 25.8
	tokensPerEvent  = 3
	adapterSlots    = 5
	stepBase        = 8200 * time.Microsecond
	stepPerRequest  = 18100 * time.Nanosecond
	stepPerToken    = 34500 * time.Nanosecond / 1000
	loadTime        = 288 * time.Millisecond
	recentLoadShare = 0.1
	// hostMemoryTime is how long a worker keeps an adapter in host memory.
	hostMemoryTime = time.Minute
	// partTime is how long a worker keeps the shared part of a prompt.
	partTime       = 5 * time.Second
	ownRegionRTT   = 3 * time.Millisecond
	crossRegionRTT = 40 * time.Millisecond
	regions        = 2
)

// Names lists the embedded scenarios.
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

// Load reads an embedded scenario. An error carries the code scenario_unreadable,
// scenario_malformed or scenario_invalid.
func Load(name string) (Scenario, error) {
	data, err := embedded.ReadFile("scenarios/" + name + ".json")
	if err != nil {
		return Scenario{}, oops.Code("scenario_unreadable").With("scenario", name).Wrap(err)
	}
	var s Scenario
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Scenario{}, oops.Code("scenario_malformed").With("scenario", name).Wrap(err)
	}
	if err := s.validate(); err != nil {
		return Scenario{}, oops.Code("scenario_invalid").With("scenario", name).Wrap(err)
	}
	return s, nil
}

// validate returns all findings joined into one error, or nil.
func (s Scenario) validate() error {
	var findings []error
	for field, value := range map[string]float64{
		"seconds": s.Seconds, "instances": float64(s.Instances), "workers": float64(s.Workers), "heartbeatMs": s.HeartbeatMs,
		"requestsPerSecond": s.RequestsPerSecond, "fastestFactor": s.FastestFactor, "slowestFactor": s.SlowestFactor,
		"slowFactor": s.SlowFactor, "phaseMs": s.PhaseMs, "adapters": float64(s.Adapters), "promptTokens": s.PromptTokens,
		"maxPromptTokens": float64(s.MaxPromptTokens), "shortEvents": s.ShortEvents, "longEvents": s.LongEvents,
	} {
		if value <= 0 {
			findings = append(findings, fmt.Errorf("%s: must be above zero", field))
		}
	}
	if len(s.Seeds) == 0 {
		findings = append(findings, errors.New("seeds: is empty"))
	}
	return errors.Join(findings...)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
