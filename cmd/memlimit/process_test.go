//go:build isolated

package memlimit

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/entry/direct"
	"github.com/bulrushwick/bulrushwick/platform/standin"
)

// megabyte is the unit of memoryLimitMB.
const megabyte = 1 << 20

var buildDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "bulrushwick-memlimit")
	if err != nil {
		panic(err)
	}
	buildDir = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// buildProgram builds the program once and returns its path.
var buildProgram = sync.OnceValues(func() (string, error) {
	program := filepath.Join(buildDir, "bulrushwick")
	out, err := exec.Command("go", "build", "-o", program, "github.com/bulrushwick/bulrushwick/cmd/bulrushwick").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return program, nil
})

// instance is a process of the program whose memory is sampled.
type instance struct {
	t       *testing.T
	callers string
	pid     int
	exited  chan struct{}
	// ordinary is a request that is served at all times.
	ordinary string
	// limit is the memory of its machine in bytes.
	limit int64
	// peak is the peak of memory with unread bytes.
	peak, peakUnread, peakDescriptors atomic.Int64
}

// hosts counts the loopback addresses in use by this test process.
var hosts atomic.Uint32

func freeHost() string {
	return fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%50, os.Getpid()/50%250, 1+hosts.Add(1))
}

// startDirect starts an instance that dispatches directly to two workers, on a machine
// of memoryMB, with a configuration that allows bodies of maxBody bytes.
func startDirect(t *testing.T, memoryMB, maxBody int, respond func(net.Conn, standin.ReceivedRequest) bool) *instance {
	t.Helper()
	return startDirectWith(t, memoryMB, maxBody, 1, respond)
}

// startDirectWith is startDirect with a number of workers that run a model.
func startDirectWith(t *testing.T, memoryMB, maxBody, models int, respond func(net.Conn, standin.ReceivedRequest) bool) *instance {
	t.Helper()
	store := standin.NewStore()
	for n, service := range append(slices.Repeat([]string{standin.ModelService}, models), standin.PlainService) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		worker := standin.StartWorker(listener, fmt.Sprintf("w-%s-%d", service, n), service)
		t.Cleanup(worker.Crash)
		if respond != nil {
			worker.SetResponder(respond)
		}
		store.PutWorker(worker.ID, worker.Entry("ready", "a", worker.Address))
	}
	configuration := strings.Replace(standin.Configuration, `"maxBodyBytes":100000`, fmt.Sprintf(`"maxBodyBytes":%d`, maxBody), 1)
	require.NotEqual(t, standin.Configuration, configuration)
	store.PutConfiguration(configuration)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	host := freeHost()
	s := direct.DefaultSettings()
	s.Instance, s.DataCentre, s.Region = "e0", "a", "north"
	s.DataCentres = map[string]string{"a": "north"}
	s.CallerAddress, s.ReadinessAddress, s.ControlAddress = host+":8149", host+":8141", host+":8144"
	s.StoreAddress = strings.TrimPrefix(server.URL, "http://")
	s.Seeds = []string{s.ControlAddress}
	s.MemoryLimitMB = memoryMB
	encoded, err := json.Marshal(s)
	require.NoError(t, err)
	i := start(t, "direct", encoded, memoryMB, s.CallerAddress)
	i.ordinary = ordinaryRead
	i.awaitAnswer(i.ordinary)
	return i
}

// start starts the program with a subcommand and settings.
func start(t *testing.T, subcommand string, settings []byte, memoryMB int, callers string) *instance {
	t.Helper()
	program, err := buildProgram()
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(file, settings, 0o600))
	command := exec.Command(program, subcommand, "--settings", file)
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	require.NoError(t, err)
	command.Stdout, command.Stderr = log, log
	require.NoError(t, command.Start())
	i := &instance{t: t, callers: callers, pid: command.Process.Pid, exited: make(chan struct{}), limit: int64(memoryMB) * megabyte}
	go func() {
		_ = command.Wait()
		close(i.exited)
	}()
	t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGKILL)
		<-i.exited
		_ = log.Close()
	})
	return i
}

// answerTimeout bounds the wait for one ordinary response.
const answerTimeout = 20 * time.Second

// ordinaryRead is a request without a body.
const ordinaryRead = "GET /r/x HTTP/1.1\r\nHost: " + standin.Host + "\r\nX-Request-Id: ordinary\r\nConnection: close\r\n\r\n"

// awaitAnswer sends a request, again if it is rejected, until it is answered with 200.
func (i *instance) awaitAnswer(text string) {
	i.t.Helper()
	require.Eventually(i.t, func() bool { return i.send(text) == http.StatusOK }, answerTimeout, 50*time.Millisecond, "an ordinary request is answered")
}

// send returns the status of the response to a request, or 0 if there is none.
func (i *instance) send(text string) int {
	conn, err := net.Dial("tcp", i.callers)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(answerTimeout / 4))
	if _, err := io.WriteString(conn, text); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// sampleInterval is the interval at which memory and descriptors are sampled.
const sampleInterval = 20 * time.Millisecond

// sample samples the process until stop is called.
func (i *instance) sample() (stop func()) {
	end, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			unread := i.unreadBytes()
			raise(&i.peakUnread, unread)
			raise(&i.peak, i.status("VmRSS:")+unread)
			entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", i.pid))
			raise(&i.peakDescriptors, int64(len(entries)))
			select {
			case <-end:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return func() {
		close(end)
		<-done
	}
}

func raise(to *atomic.Int64, value int64) {
	if value > to.Load() {
		to.Store(value) // only the sampling goroutine stores
	}
}

// status returns a size from /proc/PID/status in bytes, or 0 if the process is gone.
func (i *instance) status(name string) int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.pid))
	_, rest, found := strings.Cut(string(text), name)
	if !found {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	return kilobytes << 10
}

// unreadBytes returns the bytes that the sockets of the instance, those to workers
// included, have received and the process has not read.
func (i *instance) unreadBytes() int64 {
	own := make(map[string]bool)
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", i.pid))
	for _, entry := range entries {
		target, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", i.pid, entry.Name()))
		if inode, found := strings.CutPrefix(target, "socket:["); found {
			own[strings.TrimSuffix(inode, "]")] = true
		}
	}
	text, _ := os.ReadFile("/proc/net/tcp")
	var total int64
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		const established, inodeField = "01", 9
		if len(fields) <= inodeField || fields[3] != established || !own[fields[inodeField]] {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		total += n
	}
	return total
}

// requireWithin checks that the process is alive and stayed within its memory and
// descriptors.
func (i *instance) requireWithin(descriptors int64) {
	i.t.Helper()
	select {
	case <-i.exited:
		require.FailNow(i.t, "the process has exited")
	default:
	}
	peak := max(i.peak.Load(), i.status("VmHWM:"))
	i.t.Logf("peak %.1f MB, of it unread %.1f MB at most; %d descriptors", float64(peak)/megabyte, float64(i.peakUnread.Load())/megabyte, i.peakDescriptors.Load())
	require.LessOrEqual(i.t, peak, i.limit, "peak memory, unread bytes included")
	require.LessOrEqual(i.t, i.peakDescriptors.Load(), descriptors, "open descriptors")
}
