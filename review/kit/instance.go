package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

var discardLog = log.New(io.Discard, "", 0)

// Ports of each instance, on a loopback address of its own.
const (
	callerPort    = "8149"
	readinessPort = "8141"
	controlPort   = "8144" // of the link in front of the instance
	listenPort    = "8145"
)

// instance is a process of the project's daemon.
type instance struct {
	name, host, zone string
	root, file, log  string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// stopping is set when a signal ends the process.
	stopping bool
	ends     int // ends that no signal asked for
}

// freeNetwork returns the first three parts of a loopback network whose addresses are free.
func freeNetwork() string {
	for n := range 200 {
		prefix := fmt.Sprintf("127.%d.%d.", 60+(os.Getpid()+n)%100, (os.Getpid()/100+n)%250)
		free := true
		for host := 1; host <= 12 && free; host++ {
			for _, port := range []string{callerPort, readinessPort, controlPort, listenPort} {
				listener, err := net.Listen("tcp", net.JoinHostPort(fmt.Sprint(prefix, host), port))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			return prefix
		}
	}
	return ""
}

func (i *instance) caller() string  { return net.JoinHostPort(i.host, callerPort) }
func (i *instance) control() string { return net.JoinHostPort(i.host, controlPort) }

// writeSettings writes the settings that deploy/settings.json.tmpl renders, with the bounds
// of the small sites. The control address is that of the link.
func (i *instance) writeSettings(zones map[string]string, seeds []string, storeAddress string, linked bool) error {
	settings := map[string]any{
		"instance": i.name, "dataCentre": i.zone, "region": zones[i.zone], "dataCentres": zones,
		"callerAddress": i.caller(), "readinessAddress": net.JoinHostPort(i.host, readinessPort),
		"controlAddress": i.control(), "seeds": seeds, "storeAddress": storeAddress,
		"memoryLimitMB": 284, "cpuShare": 0.4, "orderTurnGap": "3000ms", "configApplyLimit": "2500ms", "stopGrace": "8s",
		"repeatRatio": 0.2, "repeatSlack": 52, "repeatWindow": "10s",
	}
	if linked {
		settings["controlListenAddress"] = net.JoinHostPort(i.host, listenPort)
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(i.file, data, 0o600)
}

// start starts the process with the command of the deploy file.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	out, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(i.root, "target", "bulrushwick"), "direct")
	command.Dir, command.Stdout, command.Stderr = i.root, out, out
	command.Env = append(os.Environ(), "BULRUSHWICK_BOOT="+i.file)
	if err := command.Start(); err != nil {
		return err
	}
	i.command, i.exited, i.stopping = command, make(chan struct{}), false
	go func(exited chan struct{}) {
		_ = command.Wait()
		_ = out.Close()
		i.mu.Lock()
		defer i.mu.Unlock()
		if !i.stopping {
			i.ends++
		}
		close(exited)
	}(i.exited)
	return nil
}

func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command == nil {
		return
	}
	select {
	case <-i.exited:
		return
	default:
	}
	i.stopping = i.stopping || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = i.command.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	i.mu.Lock()
	exited := i.exited
	i.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

func (i *instance) isReady() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + net.JoinHostPort(i.host, readinessPort) + "/bulrushwick/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
