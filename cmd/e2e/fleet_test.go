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

// leaseTTL is below the default, so that instances become ready sooner.
const leaseTTL = time.Second

// buildDir is the directory of the built programs; TestMain removes it at the end.
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

// system is a deployment of which every part runs as a process of its own.
// instances, members, callerAddresses, operatorAddresses and spanFiles have the
// same order, and so have workerAddresses and the engines of the pool.
type system struct {
	spec              deployment.Spec
	platformAddress   string
	workerAddresses   []string
	serviceAddresses  []string
	instances         []*process
	callerAddresses   []string
	operatorAddresses []string
	// inFrontOf returns the address that the table has in place of that of a stand-in
	// endpoint. Nil leaves the addresses as they are.
	inFrontOf  func(address string) string
	traceSpans bool
	spanFiles  []string // written by the instances if traceSpans is set, else empty names
	members    []member.Instance
}

// startSystem starts the stand-ins and instancesPerDataCentre instances in each
// data centre, and returns when every instance is ready.
func startSystem(t testing.TB, spec deployment.Spec, instancesPerDataCentre int) *system {
	t.Helper()
	return startSystemWithEngineFlags(t, spec, instancesPerDataCentre)
}

// startSystemWithEngineFlags is startSystem with additional flags for the engines.
func startSystemWithEngineFlags(t testing.TB, spec deployment.Spec, instancesPerDataCentre int, engineFlags ...string) *system {
	t.Helper()
	s := &system{spec: spec}
	s.startAll(t, instancesPerDataCentre, engineFlags...)
	return s
}

// startAll starts the stand-ins and the instances, publishes the tables and the
// list of instances, and returns when every instance is ready.
func (s *system) startAll(t testing.TB, instancesPerDataCentre int, engineFlags ...string) {
	t.Helper()
	spec := s.spec
	s.platformAddress = startProgram(t, "bulrushctl", "standin", "platform").await(t, "listening").Address
	store := startProgram(t, "bulrushctl", "standin", "store", "--rate", "50", "--load-time", "5ms").await(t, "listening").Address
	engineArgs := []string{"standin", "engine", "--store", store, "--slots", fmt.Sprint(spec.Slots)}
	if spec.Fencing {
		engineArgs = append(engineArgs, "--fencing")
	}
	engineArgs = append(engineArgs, engineFlags...)
	s.workerAddresses = startProcesses(t, spec.Workers, engineArgs...)
	s.serviceAddresses = startProcesses(t, spec.Services, "standin", "service")
	if s.inFrontOf != nil {
		for _, addresses := range [][]string{s.workerAddresses, s.serviceAddresses} {
			for i := range addresses {
				addresses[i] = s.inFrontOf(addresses[i])
			}
		}
	}
	snapshot, err := deployment.Snapshot(1, spec.Chunk(s.workerAddresses, s.serviceAddresses))
	require.NoError(t, err)
	require.NoError(t, deployment.PublishEndpoints(s.put, []fleet.EndpointState{}))
	require.NoError(t, deployment.PublishTables(s.put, snapshot))
	for _, dataCentre := range spec.DataCentres() {
		for range instancesPerDataCentre {
			s.startInstance(t, dataCentre)
		}
	}
	require.NoError(t, deployment.PublishInstances(s.put, s.members))
	for _, instance := range s.instances {
		instance.await(t, "ready")
	}
}

// startProcesses starts count processes of bulrushctl and returns the addresses
// that they listen on.
func startProcesses(t testing.TB, count int, args ...string) []string {
	t.Helper()
	processes := make([]*process, count)
	for i := range processes {
		processes[i] = startProgram(t, "bulrushctl", args...)
	}
	addresses := make([]string, count)
	for i, p := range processes {
		addresses[i] = p.await(t, "listening").Address
	}
	return addresses
}

// startInstance starts an instance on free ports and appends it to s.
func (s *system) startInstance(t testing.TB, dataCentre string) {
	t.Helper()
	conf := settings.Default()
	conf.Instance = fmt.Sprintf("entry-%d", len(s.instances))
	conf.DataCentre = dataCentre
	conf.CallerAddress, conf.PeerAddress, conf.ControlAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	conf.OperatorAddress = "127.0.0.1:0"
	if s.traceSpans {
		conf.TraceFile = filepath.Join(t.TempDir(), conf.Instance+".spans")
	}
	conf.PlatformAddress = s.platformAddress
	conf.LeaseTerm = settings.Duration(leaseTTL)
	conf.LeaseListLag = settings.Duration(leaseTTL / 4)
	conf.LeaseAloneTerm = settings.Duration(leaseTTL / 2)
	instance := startInstanceProcess(t, conf)
	listening := instance.await(t, "listening")
	s.instances = append(s.instances, instance)
	s.callerAddresses = append(s.callerAddresses, listening.Callers)
	s.operatorAddresses = append(s.operatorAddresses, listening.Operator)
	s.spanFiles = append(s.spanFiles, conf.TraceFile)
	s.members = append(s.members, member.Instance{
		Name:           conf.Instance,
		DataCentre:     dataCentre,
		PeerAddress:    listening.Peers,
		ControlAddress: listening.Control,
		State:          member.Live,
	})
}

// startInstanceProcess starts an instance with a settings file made from conf.
func startInstanceProcess(t testing.TB, conf settings.Settings) *process {
	t.Helper()
	data, err := json.Marshal(conf)
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), conf.Instance+".json")
	require.NoError(t, os.WriteFile(file, data, 0o600))
	return startProgram(t, "bulrushwick", "serve", "--settings", file)
}

// restartInstance kills instance i and starts a new process with the same name
// and addresses, which has none of the former state.
func (s *system) restartInstance(t testing.TB, i int) {
	t.Helper()
	s.instances[i].kill()
	conf := settings.Default()
	conf.Instance, conf.DataCentre = s.members[i].Name, s.members[i].DataCentre
	conf.CallerAddress, conf.PeerAddress, conf.ControlAddress = s.callerAddresses[i], s.members[i].PeerAddress, s.members[i].ControlAddress
	conf.PlatformAddress = s.platformAddress
	s.instances[i] = startInstanceProcess(t, conf)
}

// put writes a key to the platform stand-in's key-value store.
func (s *system) put(key string, value []byte) error {
	request, err := http.NewRequest(http.MethodPut, "http://"+s.platformAddress+"/v1/kv/"+key, strings.NewReader(string(value)))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != fasthttp.StatusOK {
		return fmt.Errorf("platform responded with status %d", response.StatusCode)
	}
	return nil
}

// adapterVersions returns the first count adapters of the deployment, each with a version.
func (s *system) adapterVersions(count int) []table.AdapterVersion {
	adapters := make([]table.AdapterVersion, count)
	for i := range adapters {
		adapters[i] = table.AdapterVersion{Adapter: s.spec.Adapter(i), Version: fmt.Sprintf("v%d", 1+i%2)}
	}
	return adapters
}
