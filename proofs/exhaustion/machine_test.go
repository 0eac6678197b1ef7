// Package exhaustion runs the router's real program on a small machine, and crowds of clients that send what they may not, or stop
// in the middle, at each of its listeners. It checks that the process lives, what it holds, and that it serves an ordinary request
// afterwards. Its tests run one at a time: they measure the memory of a process.
package exhaustion

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/platform"
	"maststage.dev/platform/platformtest"
	"maststage.dev/standin/backend"
	"maststage.dev/standin/memlog"
)

// The machine of a router, and the limits of its configuration.
const (
	memoryBytes    = 112 << 20
	descriptors    = 512
	maxBodyBytes   = 2 << 20
	maxHeaderBytes = 16 << 10
)

// freeDescriptors are those that a host needs for its own work: its targets, the log and other hosts.
const freeDescriptors = 64

// Addresses of the cluster. The loopback network belongs to this package.
const (
	callersAddress = "127.19.0.1:9000"
	readyAddress   = "127.19.0.1:9001"
	hostsAddress   = "127.19.0.1:9002"
	metricsAddress = "127.19.0.1:9003"
	storeAddress   = "127.19.0.2:9000"
)

const (
	service     = "plain"
	routeHost   = "plain.example"
	routePrefix = "/work/"
	routeTime   = 20 * time.Second
)

// program is the path of the router's binary.
var program string

func TestMain(m *testing.M) {
	log.SetLevel(log.PanicLevel)
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "maststage-exhaustion-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "maststage-router")
	if out, err := exec.Command("go", "build", "-o", program, "maststage.dev/cmd/maststage-router").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build failed: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// machine is a host of one router process, with the log and a target in the test's process.
type machine struct {
	t       *testing.T
	process *exec.Cmd
	ended   chan struct{} // closed once the process has exited
}

// machineSettings are the settings of the router's process.
var machineSettings = fmt.Sprintf("[host]\nname = h0\ndomain = z0\nlisten = %s\nready_listen = %s\npeer_listen = %s\nmetrics_listen = %s\nseeds = %s\n"+
	"[log]\naddress = %s\npartitions = 1\n", callersAddress, readyAddress, hostsAddress, metricsAddress, hostsAddress, storeAddress)

// startMachine starts the log, a target and the router, and waits until the router serves.
func startMachine(t *testing.T) *machine {
	store := memlog.New()
	served, err := platformtest.Serve(storeAddress, store.Host("h0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(served.Close)
	target, err := backend.Start("t0", backend.Names{
		RequestID: platform.Headers.RequestID, ExpectTarget: platform.Headers.ExpectTarget, LastEventID: platform.Headers.LastEventID,
		Stamp: platform.Headers.Stamp, NotRun: platform.Headers.NotRun, Limit: platform.Headers.Limit, Leaving: platform.Headers.Leaving,
	}, func(run backend.Run) backend.Behaviour {
		return backend.Behaviour{Body: run.Header.Get("Content-Length")}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Close)
	store.Put(platformtest.Operator, platformtest.ConfigKey, platformtest.Encode(platformtest.Config{
		Version: 1, Limits: platformtest.Limits{MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxBodyBytes},
		Services: []platformtest.Service{{Name: service, MaxConns: 100}},
		Routes: []platformtest.Route{{
			Name: "work", Host: routeHost, PathPrefix: routePrefix, Kind: "unsafe", Service: service,
			TimeoutMs: float64(routeTime.Milliseconds()), TargetLatencyMs: 1000, MaxAttempts: 1, Public: true,
		}},
	}))
	store.Put(platformtest.Servers, "t0", platformtest.Encode(platformtest.Server{
		Service: service, Address: target.Address(), Zone: "z0", State: platformtest.Ready, Slots: 50,
	}))
	m := &machine{t: t, ended: make(chan struct{})}
	m.start()
	return m
}

func (m *machine) start() {
	dir := m.t.TempDir()
	path := filepath.Join(dir, "router.ini")
	if err := os.WriteFile(path, []byte(machineSettings), 0o600); err != nil {
		m.t.Fatal(err)
	}
	out, err := os.Create(filepath.Join(dir, "router.log"))
	if err != nil {
		m.t.Fatal(err)
	}
	m.process = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %q -config %q", descriptors, program, path))
	m.process.Stdout, m.process.Stderr = out, out
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.process.Start(); err != nil {
		m.t.Fatal(err)
	}
	go func() {
		_ = m.process.Wait() // checkLives reports an unexpected end
		_ = out.Close()
		close(m.ended)
	}()
	m.t.Cleanup(func() {
		_ = m.process.Process.Kill() // it may have ended
		<-m.ended
		if text, err := os.ReadFile(out.Name()); err == nil && m.t.Failed() {
			m.t.Logf("end of the router's log:\n%s", text[max(0, len(text)-4000):])
		}
	})
	m.eventuallyServes()
}

// lives reports whether the process runs.
func (m *machine) lives() bool {
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// peakMemory returns the largest resident size of the process so far, in bytes.
func (m *machine) peakMemory() int64 {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", m.process.Process.Pid))
	if err != nil {
		m.t.Fatal(err)
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
			if err != nil {
				m.t.Fatal(err)
			}
			return kilobytes << 10
		}
	}
	m.t.Fatal("the process has no resident size")
	return 0
}

// openDescriptors counts the descriptors of the process.
func (m *machine) openDescriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.process.Process.Pid))
	if err != nil {
		m.t.Fatal(err)
	}
	return len(list)
}

// Bounds of eventuallyServes. They only end a test whose router serves nobody.
const (
	serveAttempts = 8
	attemptTime   = 4 * time.Second
	attemptPause  = time.Second
)

// eventuallyServes requires that an ordinary request is served, or one of a few later attempts.
func (m *machine) eventuallyServes() {
	var last error
	for range serveAttempts {
		if !m.lives() {
			m.t.Fatal("the router has exited")
		}
		if last = m.serves(); last == nil {
			return
		}
		time.Sleep(attemptPause)
	}
	m.t.Fatalf("no ordinary request is served: %v", last)
}

// serves sends an ordinary request.
func (m *machine) serves() error {
	return exchange(ordinaryBody, func(c net.Conn) error {
		return writeRequest(c, fmt.Sprintf("Content-Length: %d", ordinaryBody), func() error { return writeBytes(c, ordinaryBody) })
	})
}

// listeners are the addresses of the router's listeners.
var listeners = []listener{
	{"callers", callersAddress, routePrefix + "x", maxBodyBytes},
	{"ready", readyAddress, "/v1/ready", 128 << 10},
	{"hosts", hostsAddress, "/fleet/lend", 1 << 20},
	{"metrics", metricsAddress, "/metrics", 128 << 10},
}

// listener is one listener of the router.
type listener struct {
	name, address, path string
	maxBody             int // that it reads
}

// Bounds of settle.
const (
	settlePolls = 50
	settlePause = 200 * time.Millisecond
	steadyPolls = 4 // in which the number of descriptors stays the same
)

// settle waits until the process has taken what its clients have sent: it has as many descriptors for a while.
func (m *machine) settle() {
	last, same := -1, 0
	for i := 0; i < settlePolls && same < steadyPolls && m.lives(); i++ {
		time.Sleep(settlePause)
		if open := m.openDescriptors(); open == last {
			same++
		} else {
			last, same = open, 0
		}
	}
}

// checkHeld requires that the process lives and holds no more than its machine has, but for what it needs for its own work.
func (m *machine) checkHeld() {
	if !m.lives() {
		m.t.Fatal("the router has exited")
	}
	peak, open := m.peakMemory(), m.openDescriptors()
	m.t.Logf("peak memory %d MB of %d, %d descriptors of %d", peak>>20, memoryBytes>>20, open, descriptors)
	if peak > memoryBytes {
		m.t.Errorf("the router used %d MB, and its machine has %d", peak>>20, memoryBytes>>20)
	}
	if open > descriptors-freeDescriptors {
		m.t.Errorf("the router has %d descriptors open, and its machine has %d", open, descriptors)
	}
}
