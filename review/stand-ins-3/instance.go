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

// instance is a process of the system, started with the command of the deploy file.
type instance struct {
	name, ip                                       string
	callers, readiness, control, metrics, settings string
	log                                            string
	command                                        *exec.Cmd
	done                                           chan struct{}
	began                                          time.Time
	rec                                            *record
	document                                       map[string]any
}

// siteSettings are the figures of a site's sheet and of one of its machines.
type siteSettings struct {
	memoryMB    int
	cpuShare    float64
	configApply time.Duration
	grace       time.Duration
	repeatSlack int
	// inTouch is longer than stabilityWindowMs.
	inTouch time.Duration
}

var (
	silt   = siteSettings{memoryMB: 284, cpuShare: 0.4, configApply: 2500 * time.Millisecond, grace: 8 * time.Second, repeatSlack: 52, inTouch: 5 * time.Second}
	suzgec = siteSettings{memoryMB: 284, cpuShare: 0.4, configApply: 2500 * time.Millisecond, grace: 8 * time.Second, repeatSlack: 54, inTouch: 5 * time.Second}
)

// newInstances reserves addresses for instances and writes their settings; each has a
// loopback address of its own.
func newInstances(rec *record, folder, storeAddress string, count int, site siteSettings) ([]*instance, error) {
	var all []*instance
	for n := range count {
		i := &instance{name: fmt.Sprintf("edge-%d", n+1), ip: fmt.Sprintf("127.0.0.%d", 11+n), rec: rec}
		for _, address := range []*string{&i.callers, &i.readiness, &i.control, &i.metrics} {
			listener, err := net.Listen("tcp", i.ip+":0")
			if err != nil {
				return nil, err
			}
			*address = listener.Addr().String()
			defer func() { _ = listener.Close() }()
		}
		all = append(all, i)
	}
	var seeds []string
	for _, i := range all[:min(3, len(all))] {
		seeds = append(seeds, i.control)
	}
	for _, i := range all {
		i.document = map[string]any{
			"instance": i.name, "dataCentre": "zone-a", "region": "region-a", "dataCentres": map[string]string{"zone-a": "region-a"},
			"callerAddress": i.callers, "readinessAddress": i.readiness, "controlAddress": i.control, "metricsAddress": i.metrics,
			"seeds": seeds, "storeAddress": storeAddress, "memoryLimitMB": site.memoryMB, "cpuShare": site.cpuShare,
			"orderTurnGap": "3000ms", "configApplyLimit": site.configApply.String(), "workerHeartbeat": "1200ms", "stopGrace": site.grace.String(),
			"repeatRatio": 0.2, "repeatSlack": site.repeatSlack, "repeatWindow": "10s",
		}
		i.settings = filepath.Join(folder, i.name+".json")
		i.log = filepath.Join(folder, i.name+".log")
		if err := i.writeSettings(); err != nil {
			return nil, err
		}
	}
	return all, nil
}

func (i *instance) writeSettings() error {
	encoded, err := json.MarshalIndent(i.document, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(i.settings, encoded, 0o600)
}

// start starts the process and waits until it reports itself ready.
func (i *instance) start(program string, ready bool) error {
	log, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	i.command = exec.Command(program, "direct")
	i.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "BULRUSHWICK_BOOT=" + i.settings}
	i.command.Stdout, i.command.Stderr = log, log
	if err := i.command.Start(); err != nil {
		return err
	}
	i.done, i.began = make(chan struct{}), time.Now()
	command, done := i.command, i.done
	go func() {
		err := command.Wait()
		i.rec.add("process", "%s has ended: %v", i.name, err)
		close(done)
	}()
	i.rec.add("process", "%s started", i.name)
	if !ready {
		return nil
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + i.readiness + "/bulrushwick/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				i.rec.add("process", "%s is ready", i.name)
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not ready", i.name)
}

func (i *instance) signal(s syscall.Signal) {
	i.rec.add("disruption", "%s gets %v", i.name, s)
	_ = i.command.Process.Signal(s)
}

// signalPlatform is a signal of the platform that is no disruption.
func (i *instance) signalPlatform(s syscall.Signal) {
	i.rec.add("process", "the platform sends %s %v", i.name, s)
	_ = i.command.Process.Signal(s)
}

func (i *instance) running() bool {
	select {
	case <-i.done:
		return false
	default:
		return true
	}
}

// end kills the process if it still runs.
func (i *instance) end() {
	if i.command == nil || i.command.Process == nil {
		return
	}
	if i.running() {
		_ = i.command.Process.Kill()
		<-i.done
	}
}
