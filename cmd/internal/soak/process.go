package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bulrushwick/bulrushwick/entry/direct"
	"github.com/bulrushwick/bulrushwick/entry/settings"
	"github.com/bulrushwick/bulrushwick/standin"
)

// instance is an instance in a process of its own, with the links to and from it.
type instance struct {
	program  string
	file     string
	log      string
	settings direct.Settings
	// control carries the calls of other instances to it, and store its calls to the
	// store.
	control, store *standin.Link

	mu          sync.Mutex
	command     *exec.Cmd
	incarnation int
	// stopping is set from a signal that stops the process until its next start.
	stopping bool
	exited   chan struct{}
	// unexpectedExits is the number of exits that were not requested by a signal.
	unexpectedExits int
	// fatalSignals are the signals, other than SIGKILL, that ended a process instead of
	// being handled.
	fatalSignals []syscall.Signal
}

// runs is the number of runs in this process.
var runs atomic.Uint32

// instanceHost returns a loopback address that only one instance of one run uses,
// so that its ports are free.
func instanceHost(run uint32, ordinal int) string {
	const networks, hosts = 200, 250
	return fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%networks, run%hosts, 1+ordinal)
}

// Ports of every instance, each on its own loopback address.
const (
	callerPort    = "8149"
	readinessPort = "8141"
	controlPort   = "8144"
)

// newInstance prepares an instance and starts its links. writeSettings sets its
// seeds, and start starts its process.
func newInstance(program, dir, host string, ordinal int, storeAddress string) (*instance, error) {
	i := &instance{program: program, file: filepath.Join(dir, fmt.Sprintf("e%d.json", ordinal)), log: filepath.Join(dir, fmt.Sprintf("e%d.log", ordinal))}
	s := direct.DefaultSettings()
	s.Instance = fmt.Sprintf("e%d", ordinal)
	s.DataCentre, s.Region = string(rune('a'+ordinal%2)), "north"
	s.DataCentres = map[string]string{"a": "north", "b": "north"}
	s.OrderTurnGap, s.StopGrace = settings.Duration(turnGap), settings.Duration(stopGrace)
	s.CallerAddress, s.ReadinessAddress = net.JoinHostPort(host, callerPort), net.JoinHostPort(host, readinessPort)
	s.ControlListenAddress = net.JoinHostPort(host, controlPort)
	var err error
	if i.control, err = standin.StartLink("127.0.0.1:0", s.ControlListenAddress); err != nil {
		return nil, err
	}
	if i.store, err = standin.StartLink("127.0.0.1:0", storeAddress); err != nil {
		return nil, errors.Join(err, i.control.Close())
	}
	s.ControlAddress, s.StoreAddress = i.control.Address(), i.store.Address()
	i.settings = s
	return i, nil
}

// writeSettings replaces the settings file by one with the given seeds. A process that
// starts meanwhile reads the former file or the new one.
func (i *instance) writeSettings(seeds []string) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.settings.Seeds = seeds
	data, err := json.Marshal(i.settings)
	if err != nil {
		return err
	}
	next := i.file + ".new"
	if err := os.WriteFile(next, data, 0o600); err != nil {
		return err
	}
	return os.Rename(next, i.file)
}

// start starts the process unless it is running.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command != nil {
		return nil
	}
	log, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(i.program, "direct", "--settings", i.file) //nolint:gosec // the path is the caller's own program
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	i.command, i.stopping, i.exited = command, false, make(chan struct{})
	i.incarnation++
	go i.awaitExit(command, log, logSize(log), i.exited)
	return nil
}

// logSize returns the size of a log, or 0 if it is unknown.
func logSize(log *os.File) int64 {
	info, err := log.Stat()
	if err != nil {
		return 0
	}
	return info.Size()
}

// handledSignals are the signals that instances handle once they run.
var handledSignals = []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGPIPE}

// awaitExit records how a process ends, whose log had a size at its start. One that a signal
// ended before it could handle any is started again, as by a supervisor.
func (i *instance) awaitExit(command *exec.Cmd, log *os.File, sizeAtStart int64, exited chan struct{}) {
	_ = command.Wait() // whether the exit was expected follows from stopping
	hasLogged := logSize(log) > sizeAtStart
	_ = log.Close()
	status, ok := command.ProcessState.Sys().(syscall.WaitStatus)
	bySignal := ok && status.Signaled() && status.Signal() != syscall.SIGKILL
	wasNotRunning := bySignal && !hasLogged && slices.Contains(handledSignals, status.Signal())
	i.mu.Lock()
	switch {
	case wasNotRunning:
	case bySignal:
		i.fatalSignals = append(i.fatalSignals, status.Signal())
	case !i.stopping:
		i.unexpectedExits++
	}
	i.command = nil
	startAgain := wasNotRunning && !i.stopping
	close(exited)
	i.mu.Unlock()
	if startAgain && i.start() != nil {
		i.mu.Lock()
		i.unexpectedExits++ // it could not be started again
		i.mu.Unlock()
	}
}

// signal sends a signal to the process if it is running. SIGKILL and SIGTERM make
// its exit expected.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command == nil {
		return
	}
	i.stopping = i.stopping || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = i.command.Process.Signal(s) // the process may just have exited
}

// stop stops the process by SIGKILL or SIGTERM and waits until it has exited. A
// process that exceeds twice the grace period is killed.
func (i *instance) stop(s syscall.Signal) {
	i.signal(s)
	i.mu.Lock()
	exited, running := i.exited, i.command != nil
	i.mu.Unlock()
	if !running {
		return
	}
	select {
	case <-exited:
	case <-time.After(2 * stopGrace):
		i.signal(syscall.SIGKILL)
		<-exited
	}
}

// starts returns how often the process was started.
func (i *instance) starts() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.incarnation
}

// close stops the process and its links.
func (i *instance) close() {
	i.signal(syscall.SIGCONT)
	i.stop(syscall.SIGKILL)
	_ = i.control.Close() // the error does not matter at shutdown
	_ = i.store.Close()
}
