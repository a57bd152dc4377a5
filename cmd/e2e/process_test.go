package e2e

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
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

// startTimeout limits the wait for an event of a process. It is far above what a
// process needs to start.
const startTimeout = time.Minute

// buildPrograms builds both programs once for all tests and returns their
// directory, or the compiler's output with an error. It reads the main packages'
// sources, and this file imports the packages below them, so that go test does not
// reuse a cached result of older programs.
var buildPrograms = sync.OnceValues(func() (string, error) {
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

// process is a running program whose log events can be awaited.
type process struct {
	command *exec.Cmd
	events  chan logLine
	exited  chan struct{}
}

// logLine holds the fields of a log line that the tests read.
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

// startProgram starts a program and kills it when the test ends.
func startProgram(t testing.TB, program string, args ...string) *process {
	t.Helper()
	dir, err := buildPrograms()
	require.NoError(t, err, dir)
	command := exec.Command(filepath.Join(dir, program), args...)
	stderr, err := command.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	p := &process{command: command, events: make(chan logLine, 4096), exited: make(chan struct{})}
	go p.forwardEvents(stderr)
	t.Cleanup(p.kill)
	return p
}

// forwardEvents sends the log events to the channel until the program closes its
// standard error, then waits for its exit.
func (p *process) forwardEvents(stderr io.Reader) {
	scanner := bufio.NewScanner(stderr)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var line logLine
		if json.Unmarshal(scanner.Bytes(), &line) != nil {
			continue
		}
		select {
		case p.events <- line:
		default: // the buffer is full: nobody is waiting for events
		}
	}
	_ = p.command.Wait()
	close(p.events) // only after the last event, so that await sees every event before the close
	close(p.exited)
}

// await discards log lines up to the next one with that event and returns it. It
// fails the test if the process exits or startTimeout passes.
func (p *process) await(t testing.TB, event string) logLine {
	t.Helper()
	limit := time.After(startTimeout)
	for {
		select {
		case line, open := <-p.events:
			if !open {
				require.FailNow(t, "process exited", "before event %s", event)
			}
			if line.Event == event {
				return line
			}
		case <-limit:
			require.FailNow(t, "event not logged within startTimeout", "%s", event)
		}
	}
}

// signal sends a signal to this process only.
func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// freezeTimeout bounds how long a process may take to stop after SIGSTOP.
const freezeTimeout = 5 * time.Second

// freeze pauses the process with SIGSTOP, and returns when all of its threads have
// stopped. The signal takes effect when one thread is scheduled to handle it; until
// then the other threads go on, and may serve a request.
func (p *process) freeze(t testing.TB) {
	t.Helper()
	p.signal(syscall.SIGSTOP)
	require.Eventually(t, func() bool { return p.isFrozen(t) }, freezeTimeout, time.Millisecond)
}

// isFrozen reports whether all threads of the process have stopped.
func (p *process) isFrozen(t testing.TB) bool {
	t.Helper()
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.command.Process.Pid))
	require.NoError(t, err)
	for _, file := range threads {
		stat, err := os.ReadFile(file)
		if err != nil {
			return false // the thread has ended since
		}
		_, state, found := strings.Cut(string(stat), ") ")
		if !found || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return len(threads) > 0
}

// kill kills the process and returns when it has exited.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}
