package e2e

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	_ "github.com/bulrushwick/bulrushwick/cmd/internal/capacity"
	_ "github.com/bulrushwick/bulrushwick/cmd/internal/demo"
	_ "github.com/bulrushwick/bulrushwick/cmd/internal/experiment"
	_ "github.com/bulrushwick/bulrushwick/cmd/internal/loadgen"
	_ "github.com/bulrushwick/bulrushwick/entry/daemon"
	_ "github.com/bulrushwick/bulrushwick/standin"
)

// startLimit is how long a process may take to say that it listens, far above
// what it needs.
const startLimit = time.Minute

// binaries are the two programs, built once for all tests. Their sources are read
// here, and imported below, so that go test caches no result of older programs.
var binaries = sync.OnceValues(func() (string, error) {
	for _, pattern := range []string{"../bulrushwick/*.go", "../bulrushctl/*.go"} {
		sources, err := filepath.Glob(pattern)
		if err != nil {
			return "", err
		}
		for _, source := range sources {
			if _, err := os.ReadFile(source); err != nil {
				return "", err
			}
		}
	}
	dir := filepath.Join(buildDir, "bin")
	out, err := exec.Command("go", "build", "-o", dir+"/", "../bulrushwick", "../bulrushctl").CombinedOutput()
	if err != nil {
		return string(out), err
	}
	return dir, nil
})

// process is one running program.
type process struct {
	command *exec.Cmd
	events  chan logLine
	exited  chan struct{}
}

// logLine is the part of a log line that the tests wait for.
type logLine struct {
	Event    string `json:"event"`
	Address  string `json:"address"`
	Callers  string `json:"callers"`
	Peers    string `json:"peers"`
	Control  string `json:"control"`
	Operator string `json:"operator"`
	Revision uint64 `json:"revision"`
	Right    string `json:"right"`
}

// start runs a program until the test ends.
func start(t testing.TB, program string, args ...string) *process {
	t.Helper()
	dir, err := binaries()
	require.NoError(t, err, dir)
	command := exec.Command(filepath.Join(dir, program), args...)
	stderr, err := command.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	p := &process{command: command, events: make(chan logLine, 4096), exited: make(chan struct{})}
	go p.read(stderr)
	t.Cleanup(p.kill)
	return p
}

// read passes on the events until the program closes its log.
func (p *process) read(stderr io.Reader) {
	lines := bufio.NewScanner(stderr)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line logLine
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			continue
		}
		select {
		case p.events <- line:
		default: // nobody waits for this event
		}
	}
	_ = p.command.Wait()
	close(p.events) // after the last event, so that none is lost to a race
	close(p.exited)
}

// await returns the first line with that event.
func (p *process) await(t testing.TB, event string) logLine {
	t.Helper()
	limit := time.After(startLimit)
	for {
		select {
		case line, open := <-p.events:
			if !open {
				require.FailNow(t, "process exited", "waiting for %s", event)
			}
			if line.Event == event {
				return line
			}
		case <-limit:
			require.FailNow(t, "no such event", "%s", event)
		}
	}
}

// signal sends a signal to this process alone.
func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// kill ends the process and waits until it is gone.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}
