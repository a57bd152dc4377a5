package direct

import (
	"maps"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/samber/oops"

	"github.com/bulrushwick/bulrushwick/coord/strictjson"
	"github.com/bulrushwick/bulrushwick/entry/quota"
	"github.com/bulrushwick/bulrushwick/entry/settings"
)

// Settings configures an instance that dispatches requests directly to workers.
type Settings struct {
	// Instance is this instance's name.
	Instance string `json:"instance"`
	// DataCentre is where the instance runs.
	DataCentre string `json:"dataCentre"`
	// Region is the region of DataCentre.
	Region string `json:"region"`
	// DataCentres maps every data centre to its region.
	DataCentres map[string]string `json:"dataCentres"`
	// CallerAddress is where callers' requests are received, IP:port.
	CallerAddress string `json:"callerAddress"`
	// ReadinessAddress is where the load balancer checks readiness, IP:port.
	ReadinessAddress string `json:"readinessAddress"`
	// ControlAddress is where other instances send their calls, IP:port.
	ControlAddress string `json:"controlAddress"`
	// ControlListenAddress is where those calls are received, IP:port, if a
	// proxy forwards them; empty for ControlAddress.
	ControlListenAddress string `json:"controlListenAddress"`
	// MetricsAddress serves metrics and explanations of requests, IP:port; empty for none.
	// It must not be reachable by callers.
	MetricsAddress string `json:"metricsAddress"`
	// Seeds are the control addresses of some instances.
	Seeds []string `json:"seeds"`
	// StoreAddress is the metadata store, IP:port.
	StoreAddress string `json:"storeAddress"`
	// MemoryLimitMB is the memory that the process may use, in megabytes.
	MemoryLimitMB int `json:"memoryLimitMB"`
	// CallerBudgetMB is the memory for callers' bodies and unread responses, in megabytes;
	// 0 for a quarter of MemoryLimitMB.
	CallerBudgetMB int `json:"callerBudgetMB"`
	// MaxCallerConnections is the most connections of callers; 0 for the number that a
	// quarter of MemoryLimitMB and the file descriptors of the process allow.
	MaxCallerConnections int `json:"maxCallerConnections"`
	// BodyTimeout bounds the reading of one body.
	BodyTimeout settings.Duration `json:"bodyTimeout"`
	// MaxWorkerBodyMB bounds the bodies that this instance has in progress at one worker,
	// in megabytes. One body is always allowed.
	MaxWorkerBodyMB int `json:"maxWorkerBodyMB"`
	// CPUShare is the processor time that the process may use, in cores.
	CPUShare float64 `json:"cpuShare"`
	// OrderTurnGap is the least time between orders of two instances to one
	// worker, as the operators require.
	OrderTurnGap settings.Duration `json:"orderTurnGap"`
	// ConfigApplyLimit is the time within which a published configuration must
	// be in force on every instance, as the operators require.
	ConfigApplyLimit settings.Duration `json:"configApplyLimit"`
	// WorkerHeartbeat is the interval at which workers renew their entry in the store,
	// which expires after three of them.
	WorkerHeartbeat settings.Duration `json:"workerHeartbeat"`
	// StopGrace is the time between the signal to stop and the kill.
	StopGrace settings.Duration `json:"stopGrace"`
	// RepeatRatio is the fraction of the requests of a window that all instances
	// together may retry.
	RepeatRatio float64 `json:"repeatRatio"`
	// RepeatSlack is the number of retries per window that are allowed on top.
	RepeatSlack float64 `json:"repeatSlack"`
	// RepeatWindow is the window of RepeatRatio and RepeatSlack.
	RepeatWindow settings.Duration `json:"repeatWindow"`
	// StrictRevoke has the instance refuse requests that need a key while it has not
	// confirmed for RevokeAfter that its configuration is the newest. Otherwise it goes on
	// with the last configuration.
	StrictRevoke bool `json:"strictRevoke"`
	// RevokeAfter is how long the configuration may be unconfirmed if StrictRevoke is set.
	RevokeAfter settings.Duration `json:"revokeAfter"`
	// QuotaWindow is the period of the bound on what an organisation uses of its quota;
	// 0 if quotas are not enforced.
	QuotaWindow settings.Duration `json:"quotaWindow"`
	// QuotaOverage is the fraction of the quota of a window that may be used on top.
	QuotaOverage float64 `json:"quotaOverage"`
	// QuotaSlack is the amount in units of the quota that may be used in a window on top.
	QuotaSlack float64 `json:"quotaSlack"`
	// LearnedCost makes the choice of a worker depend on learned speeds of workers and
	// lengths of responses.
	LearnedCost bool `json:"learnedCost"`
}

// DefaultSettings returns the defaults. Settings without a default are empty.
func DefaultSettings() Settings {
	return Settings{
		MemoryLimitMB:    256,
		BodyTimeout:      settings.Duration(time.Minute),
		MaxWorkerBodyMB:  32,
		CPUShare:         1,
		OrderTurnGap:     settings.Duration(3 * time.Second),
		ConfigApplyLimit: settings.Duration(2500 * time.Millisecond),
		WorkerHeartbeat:  settings.Duration(1200 * time.Millisecond),
		StopGrace:        settings.Duration(8 * time.Second),
		RepeatRatio:      0.2,
		RepeatSlack:      10,
		RepeatWindow:     settings.Duration(10 * time.Second),
		RevokeAfter:      settings.Duration(5 * time.Second),
		QuotaOverage:     0.25,
		LearnedCost:      true,
	}
}

// LoadSettings reads a settings file over the defaults. If the file is invalid
// the error is strictjson.Findings.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, oops.Code("settings_unreadable").With("file", path).Wrap(err)
	}
	return ParseSettings(data)
}

// ParseSettings strictly parses settings over the defaults; all findings are
// reported together.
func ParseSettings(data []byte) (Settings, error) {
	s := DefaultSettings()
	findings, usable := strictjson.Decode(data, &s)
	if usable {
		c := &strictjson.Collector{}
		s.check(c.Addf)
		findings = append(findings, c.Locate(data)...)
	}
	findings.Sort()
	return s, findings.Err()
}

func (s Settings) check(find func(path, format string, args ...any)) {
	for field, value := range map[string]string{"instance": s.Instance, "dataCentre": s.DataCentre} {
		if value == "" {
			find(field, "is empty")
		}
	}
	s.checkAddresses(find)
	for field, value := range map[string]settings.Duration{
		"orderTurnGap": s.OrderTurnGap, "configApplyLimit": s.ConfigApplyLimit, "workerHeartbeat": s.WorkerHeartbeat, "stopGrace": s.StopGrace, "repeatWindow": s.RepeatWindow,
		"revokeAfter": s.RevokeAfter, "bodyTimeout": s.BodyTimeout,
	} {
		if value <= 0 {
			find(field, "must be above zero")
		}
	}
	if s.MemoryLimitMB < 1 {
		find("memoryLimitMB", "must be at least 1")
	}
	if s.CallerBudgetMB < 0 || s.MaxCallerConnections < 0 {
		find("callerBudgetMB", "and maxCallerConnections must not be negative")
	}
	if s.MaxWorkerBodyMB < 1 {
		find("maxWorkerBodyMB", "must be at least 1")
	}
	if s.CPUShare <= 0 {
		find("cpuShare", "must be above zero")
	}
	if s.RepeatRatio < 0 || s.RepeatSlack < 0 {
		find("repeatRatio", "and repeatSlack must not be negative")
	}
	s.checkQuota(find)
}

func (s Settings) checkQuota(find func(path, format string, args ...any)) {
	if s.QuotaWindow < 0 {
		find("quotaWindow", "must not be negative")
	}
	if s.QuotaOverage <= 0 && s.QuotaWindow > 0 {
		find("quotaOverage", "must be above zero: it bounds the age of grants")
	}
	if s.QuotaSlack < 0 {
		find("quotaSlack", "must not be negative")
	}
	if _, found := s.DataCentres[quota.ReservedDataCentre]; found && s.QuotaWindow > 0 {
		find("dataCentres", "%q is reserved if quotas are enforced", quota.ReservedDataCentre)
	}
}

func (s Settings) checkAddresses(find func(path, format string, args ...any)) {
	addresses := map[string]string{
		"callerAddress": s.CallerAddress, "readinessAddress": s.ReadinessAddress,
		"controlAddress": s.ControlAddress, "storeAddress": s.StoreAddress,
	}
	for field, value := range map[string]string{"metricsAddress": s.MetricsAddress, "controlListenAddress": s.ControlListenAddress} {
		if value != "" {
			addresses[field] = value
		}
	}
	for field, value := range addresses {
		if _, err := netip.ParseAddrPort(value); err != nil {
			find(field, "%q is not an IP address and port", value)
		}
	}
	for _, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			find("seeds", "%q is not an IP address and port", seed)
		}
	}
}

// StoreReadLimit is the time within which a reader of the store must learn of a change, or
// that there is none.
func (s Settings) StoreReadLimit() time.Duration {
	if s.StrictRevoke {
		return min(s.ConfigApplyLimit.Std(), s.RevokeAfter.Std())
	}
	return s.ConfigApplyLimit.Std()
}

// hasOtherSeeds reports whether the settings name another instance.
func (s Settings) hasOtherSeeds() bool {
	return slices.ContainsFunc(s.Seeds, func(seed string) bool { return seed != s.ControlAddress })
}

// maxSingleClusterDataCentres is the number of data centres up to which all
// instances form one cluster. With more, each region has its own cluster, which
// controls the region's workers, so that most cluster traffic stays within the
// region, where it is cheap.
const maxSingleClusterDataCentres = 3

// isRegional reports whether each region has its own cluster.
func (s Settings) isRegional() bool { return len(s.DataCentres) > maxSingleClusterDataCentres }

// controlsWorkersOf reports whether this instance's cluster controls the
// workers of a data centre.
func (s Settings) controlsWorkersOf(dataCentre string) bool {
	return !s.isRegional() || s.DataCentres[dataCentre] == s.Region
}

// clusterCount returns the number of clusters over all data centres.
func (s Settings) clusterCount() int { return len(s.clusterRegions()) }

// clusterRegions returns the region of each cluster, sorted: only the instance's own if
// there is a single cluster.
func (s Settings) clusterRegions() []string {
	if !s.isRegional() {
		return []string{s.Region}
	}
	return slices.Compact(slices.Sorted(maps.Values(s.DataCentres)))
}

// weakCPUShare is the CPUShare below which an instance is a voter, and so holds
// rights, only if there are too few others: a voter's duties take some
// hundredths of a core.
const weakCPUShare = 0.35

// isWeak reports whether this instance should have few duties.
func (s Settings) isWeak() bool { return s.CPUShare < weakCPUShare }

// controlledDataCentres returns the data centres whose workers the cluster
// controls.
func (s Settings) controlledDataCentres() []string {
	var ordered []string
	for dataCentre := range s.DataCentres {
		if s.controlsWorkersOf(dataCentre) {
			ordered = append(ordered, dataCentre)
		}
	}
	return ordered
}
