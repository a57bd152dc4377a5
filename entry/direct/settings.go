package direct

import (
	"net/netip"
	"os"
	"time"

	"github.com/samber/oops"

	"github.com/bulrushwick/bulrushwick/coord/strictjson"
	"github.com/bulrushwick/bulrushwick/entry/settings"
)

// Settings configures an instance that dispatches directly.
type Settings struct {
	// Instance is this instance's name.
	Instance string `json:"instance"`
	// DataCentre and Region tell where it stands.
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	// DataCentres maps every data centre to its region.
	DataCentres map[string]string `json:"dataCentres"`
	// CallerAddress receives callers' requests, IP:port.
	CallerAddress string `json:"callerAddress"`
	// ReadinessAddress answers the load balancer, IP:port.
	ReadinessAddress string `json:"readinessAddress"`
	// ControlAddress receives other instances' calls, IP:port.
	ControlAddress string `json:"controlAddress"`
	// ControlListenAddress is where they are received, IP:port, where a forwarder
	// stands in between; empty for ControlAddress.
	ControlListenAddress string `json:"controlListenAddress"`
	// MetricsAddress serves metrics; empty for none.
	MetricsAddress string `json:"metricsAddress"`
	// Seeds are control addresses of some instances.
	Seeds []string `json:"seeds"`
	// StoreAddress is the metadata store, IP:port.
	StoreAddress string `json:"storeAddress"`
	// MemoryLimitMB is what the process may use, in megabytes.
	MemoryLimitMB int `json:"memoryLimitMB"`
	// CPUShare is what the process may use, in cores.
	CPUShare float64 `json:"cpuShare"`
	// OrderTurnGap is the least time between orders of two instances to one
	// worker, as the operators require it.
	OrderTurnGap settings.Duration `json:"orderTurnGap"`
	// StopGrace is the time between the signal to stop and the kill.
	StopGrace settings.Duration `json:"stopGrace"`
	// RepeatRatio, RepeatSlack and RepeatWindow bound the requests that all
	// instances together send a second time; see retry.Config.
	RepeatRatio  float64           `json:"repeatRatio"`
	RepeatSlack  float64           `json:"repeatSlack"`
	RepeatWindow settings.Duration `json:"repeatWindow"`
}

// DefaultSettings returns the settings with every default filled in.
func DefaultSettings() Settings {
	return Settings{
		MemoryLimitMB: 256,
		CPUShare:      1,
		OrderTurnGap:  settings.Duration(3 * time.Second),
		StopGrace:     settings.Duration(8 * time.Second),
		RepeatRatio:   0.2,
		RepeatSlack:   10,
		RepeatWindow:  settings.Duration(10 * time.Second),
	}
}

// LoadSettings reads a settings file over the defaults. Where the file is not
// valid the error is strictjson.Findings.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, oops.Code("settings_unreadable").With("file", path).Wrap(err)
	}
	return ParseSettings(data)
}

// ParseSettings reads settings strictly; all findings come together.
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
		"orderTurnGap": s.OrderTurnGap, "stopGrace": s.StopGrace, "repeatWindow": s.RepeatWindow,
	} {
		if value <= 0 {
			find(field, "must be above zero")
		}
	}
	if s.MemoryLimitMB < 1 {
		find("memoryLimitMB", "must be at least 1")
	}
	if s.CPUShare <= 0 {
		find("cpuShare", "must be above zero")
	}
	if s.RepeatRatio < 0 || s.RepeatSlack < 0 {
		find("repeatRatio", "and repeatSlack must not be negative")
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

// maxFleetCluster is the number of data centres up to which all instances form
// one cluster. With more of them each region has a cluster of its own, which
// orders its own workers: most of its traffic stays where that is cheap.
const maxFleetCluster = 3

// regional tells whether each region has a cluster of its own.
func (s Settings) regional() bool { return len(s.DataCentres) > maxFleetCluster }

// orders tells whether this instance's cluster orders the workers of a data centre.
func (s Settings) orders(dataCentre string) bool {
	return !s.regional() || s.DataCentres[dataCentre] == s.Region
}

// clusters counts the clusters of the fleet.
func (s Settings) clusters() int {
	if !s.regional() {
		return 1
	}
	regions := make(map[string]bool)
	for _, region := range s.DataCentres {
		regions[region] = true
	}
	return len(regions)
}

// weakShare is the part of a core below which an instance is a voter, and so
// holds rights, only where there are too few others: a voter's duties take some
// hundredths of a core.
const weakShare = 0.35

// weak tells whether this instance should have few duties.
func (s Settings) weak() bool { return s.CPUShare < weakShare }

// orderedDataCentres lists the data centres whose workers the cluster orders.
func (s Settings) orderedDataCentres() []string {
	var ordered []string
	for dataCentre := range s.DataCentres {
		if s.orders(dataCentre) {
			ordered = append(ordered, dataCentre)
		}
	}
	return ordered
}
