package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/cmd/internal/deployment"
	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
	"github.com/bulrushwick/bulrushwick/entry/settings"
)

// leaseTerm is short, so that the instances are ready soon.
const leaseTerm = time.Second

// buildDir holds the built programs for the life of the test binary.
var buildDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "bulrushwick-e2e")
	if err != nil {
		panic(err)
	}
	buildDir = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// system is one deployment as separate processes.
type system struct {
	spec      deployment.Spec
	platform  string
	workers   []string
	services  []string
	entries   []*process
	callers   []string
	operators []string
	traced    bool
	traces    []string // the files that the entries write spans to, where traced
	instances []member.Instance
}

// startSystem starts the stand-ins and entriesPerDataCentre instances in each
// data centre, and waits until every instance has the tables.
func startSystem(t testing.TB, spec deployment.Spec, entriesPerDataCentre int) *system {
	t.Helper()
	return startSystemWith(t, spec, entriesPerDataCentre)
}

// startSystemWith is startSystem with further flags for the engines.
func startSystemWith(t testing.TB, spec deployment.Spec, entriesPerDataCentre int, engineFlags ...string) *system {
	t.Helper()
	s := &system{spec: spec}
	s.startAll(t, entriesPerDataCentre, engineFlags...)
	return s
}

func (s *system) startAll(t testing.TB, entriesPerDataCentre int, engineFlags ...string) {
	t.Helper()
	spec := s.spec
	s.platform = start(t, "bulrushctl", "standin", "platform").await(t, "listening").Address
	store := start(t, "bulrushctl", "standin", "store", "--rate", "50", "--load-time", "5ms").await(t, "listening").Address
	engine := []string{"standin", "engine", "--store", store, "--slots", fmt.Sprint(spec.Slots)}
	if spec.Fencing {
		engine = append(engine, "--fencing")
	}
	engine = append(engine, engineFlags...)
	s.workers = startMany(t, spec.Workers, engine...)
	s.services = startMany(t, spec.Services, "standin", "service")
	snapshot, err := deployment.Snapshot(1, spec.Chunk(s.workers, s.services))
	require.NoError(t, err)
	require.NoError(t, deployment.PublishEndpoints(s.put, []fleet.EndpointState{}))
	require.NoError(t, deployment.PublishTables(s.put, snapshot))
	for _, dataCentre := range spec.DataCentres() {
		for range entriesPerDataCentre {
			s.startEntry(t, dataCentre)
		}
	}
	require.NoError(t, deployment.PublishInstances(s.put, s.instances))
	for _, entry := range s.entries {
		entry.await(t, "ready")
	}
}

func startMany(t testing.TB, count int, args ...string) []string {
	t.Helper()
	processes := make([]*process, count)
	for i := range processes {
		processes[i] = start(t, "bulrushctl", args...)
	}
	addresses := make([]string, count)
	for i, p := range processes {
		addresses[i] = p.await(t, "listening").Address
	}
	return addresses
}

func (s *system) startEntry(t testing.TB, dataCentre string) {
	t.Helper()
	conf := settings.Default()
	conf.Instance = fmt.Sprintf("entry-%d", len(s.entries))
	conf.DataCentre = dataCentre
	conf.CallerAddress, conf.PeerAddress, conf.ControlAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	conf.OperatorAddress = "127.0.0.1:0"
	if s.traced {
		conf.TraceFile = filepath.Join(t.TempDir(), conf.Instance+".spans")
	}
	conf.PlatformAddress = s.platform
	conf.LeaseTerm = settings.Duration(leaseTerm)
	conf.LeaseListLag = settings.Duration(leaseTerm / 4)
	conf.LeaseAloneTerm = settings.Duration(leaseTerm / 2)
	entry := startEntryWith(t, conf)
	at := entry.await(t, "listening")
	s.entries = append(s.entries, entry)
	s.callers = append(s.callers, at.Callers)
	s.operators = append(s.operators, at.Operator)
	s.traces = append(s.traces, conf.TraceFile)
	s.instances = append(s.instances, member.Instance{
		Name:           conf.Instance,
		DataCentre:     dataCentre,
		PeerAddress:    at.Peers,
		ControlAddress: at.Control,
		State:          member.Live,
	})
}

func startEntryWith(t testing.TB, conf settings.Settings) *process {
	t.Helper()
	data, err := json.Marshal(conf)
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), conf.Instance+".json")
	require.NoError(t, os.WriteFile(file, data, 0o600))
	return start(t, "bulrushwick", "serve", "--settings", file)
}

// restartEntry kills an instance and starts a new process in its place, with the
// same name and addresses and no memory.
func (s *system) restartEntry(t testing.TB, i int) {
	t.Helper()
	s.entries[i].kill()
	conf := settings.Default()
	conf.Instance, conf.DataCentre = s.instances[i].Name, s.instances[i].DataCentre
	conf.CallerAddress, conf.PeerAddress, conf.ControlAddress = s.callers[i], s.instances[i].PeerAddress, s.instances[i].ControlAddress
	conf.PlatformAddress = s.platform
	s.entries[i] = startEntryWith(t, conf)
}

// put publishes a value at the platform's stand-in.
func (s *system) put(key string, value []byte) error {
	request, err := http.NewRequest(http.MethodPut, "http://"+s.platform+"/v1/kv/"+key, strings.NewReader(string(value)))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != fasthttp.StatusOK {
		return fmt.Errorf("platform answered %d", response.StatusCode)
	}
	return nil
}

// adapters returns the model names that the tests use.
func (s *system) adapters(count int) []table.AdapterVersion {
	all := make([]table.AdapterVersion, count)
	for i := range all {
		all[i] = table.AdapterVersion{Adapter: s.spec.Adapter(i), Version: fmt.Sprintf("v%d", 1+i%2)}
	}
	return all
}
