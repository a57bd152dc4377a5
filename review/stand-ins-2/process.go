package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// program is the daemon, as the deploy file builds and starts it.
const (
	program = "target/bulrushwick"
	role    = "direct"
)

// instance is a process of the system.
type instance struct {
	name, caller, readiness, control string
	settingsFile                     string
	settings                         map[string]any
	record                           *record
	command                          *exec.Cmd
	// ended is closed once the process has ended; state then says how.
	ended chan struct{}
	state string
}

// freePort returns a port that is free at an address.
func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// newInstances prepares instances whose settings are those that the template of the deploy
// file renders for a small deployment in one zone.
func newInstances(r *record, folder, storeAddress string, count int) ([]*instance, error) {
	var all []*instance
	var seeds []string
	for n := range count {
		ip := fmt.Sprintf("127.0.0.%d", 11+n)
		var addresses [4]string
		for a := range addresses {
			port, err := freePort(ip)
			if err != nil {
				return nil, err
			}
			addresses[a] = fmt.Sprintf("%s:%d", ip, port)
		}
		i := &instance{
			name: fmt.Sprintf("edge-a-%d", n+1), caller: addresses[0], readiness: addresses[1], control: addresses[2], record: r,
			settingsFile: filepath.Join(folder, fmt.Sprintf("edge-a-%d.json", n+1)),
		}
		i.settings = map[string]any{
			"instance": i.name, "dataCentre": "a", "region": "north", "dataCentres": map[string]string{"a": "north"},
			"callerAddress": i.caller, "readinessAddress": i.readiness, "controlAddress": i.control, "metricsAddress": addresses[3],
			"storeAddress": storeAddress, "memoryLimitMB": 284, "cpuShare": 0.4, "orderTurnGap": "3000ms", "configApplyLimit": "2500ms",
			"stopGrace": "8s", "repeatRatio": 0.2, "repeatSlack": 54, "repeatWindow": "10s",
		}
		if len(seeds) < 3 {
			seeds = append(seeds, i.control)
		}
		all = append(all, i)
	}
	for _, i := range all {
		i.settings["seeds"] = seeds
	}
	return all, nil
}

// writeSettings writes the settings file.
func (i *instance) writeSettings() error {
	encoded, err := json.MarshalIndent(i.settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(i.settingsFile, encoded, 0o600)
}

// start starts the process, with the command of the deploy file and the environment that
// the platform gives.
func (i *instance) start() error {
	if err := i.writeSettings(); err != nil {
		return err
	}
	log, err := os.Create(i.settingsFile + ".log")
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	i.command = exec.Command(program, role)
	i.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BULRUSHWICK_BOOT=" + i.settingsFile}
	i.command.Stdout, i.command.Stderr = log, log
	i.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.command.Start(); err != nil {
		return err
	}
	i.ended, i.state = make(chan struct{}), "runs"
	i.record.printf("%s: started, callers at %s", i.name, i.caller)
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		i.state = command.ProcessState.String()
		i.record.printf("%s: the process has ended: %s", i.name, i.state)
		close(ended)
	}(i.command, i.ended)
	return nil
}

// signal sends a signal to the process.
func (i *instance) signal(s syscall.Signal) {
	i.record.printf("%s: gets %v", i.name, s)
	_ = i.command.Process.Signal(s)
}

// kill ends the process, if it was started and still runs.
func (i *instance) kill() {
	if i.command == nil || i.command.Process == nil {
		return
	}
	select {
	case <-i.ended:
	default:
		_ = i.command.Process.Kill()
		<-i.ended
	}
}

// awaitReady waits until the process says that it is ready.
func (i *instance) awaitReady() error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + i.readiness + "/bulrushwick/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			i.record.printf("%s: ready", i.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after 20 s", i.name)
}
