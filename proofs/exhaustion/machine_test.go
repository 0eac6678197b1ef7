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
	"maststage.dev/proofs/fleet"
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
	defer fleet.Clean()
	program = filepath.Join(dir, "maststage-router")
	if out, err := exec.Command("go", "build", "-o", program, "maststage.dev/cmd/maststage-router").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build failed: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// machine is a host of one process of the system.
type machine struct {
	t       *testing.T
	pid     int
	network string       // of its listeners, as /proc/net/tcp has it
	serves  func() error // sends an ordinary request
}

// machineSettings are the settings of the router's process.
var machineSettings = fmt.Sprintf("[host]\nname = h0\ndomain = z0\nlisten = %s\nready_listen = %s\npeer_listen = %s\nmetrics_listen = %s\nseeds = %s\n"+
	"[log]\naddress = %s\npartitions = 1\n[capacity]\nmemory_mb = %d\ndescriptors = %d\n",
	callersAddress, readyAddress, hostsAddress, metricsAddress, hostsAddress, storeAddress, memoryBytes>>20, descriptors)

// startMachine starts the log and a target in the test's process, and the router, and waits until the router serves.
func startMachine(t *testing.T) *machine { return startMachineWith(t, nil) }

// startMachineWith is startMachine with more targets, those of faultyService, by their addresses.
func startMachineWith(t *testing.T, faulty []string) *machine {
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
		Services: []platformtest.Service{{Name: service, MaxConns: 100}, {Name: faultyService, MaxConns: 100}},
		Routes: []platformtest.Route{{
			Name: "work", Host: routeHost, PathPrefix: routePrefix, Kind: "unsafe", Service: service,
			TimeoutMs: float64(routeTime.Milliseconds()), TargetLatencyMs: 1000, MaxAttempts: 1, Public: true,
		}, faultyRoute("safe"), faultyRoute("streaming")},
	}))
	for i, address := range faulty {
		store.Put(platformtest.Servers, fmt.Sprint("f", i), platformtest.Encode(platformtest.Server{
			Service: faultyService, Address: address, Zone: "z0", State: platformtest.Ready, Slots: 50,
		}))
	}
	store.Put(platformtest.Servers, "t0", platformtest.Encode(platformtest.Server{
		Service: service, Address: target.Address(), Zone: "z0", State: platformtest.Ready, Slots: 50,
	}))
	m := &machine{t: t, pid: startRouter(t), network: routerNetwork, serves: servesPlain}
	m.eventuallyServes()
	return m
}

// startRouter starts the router until the end of the test and returns the id of its process.
func startRouter(t *testing.T) (pid int) {
	dir := t.TempDir()
	path := filepath.Join(dir, "router.ini")
	if err := os.WriteFile(path, []byte(machineSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := os.Create(filepath.Join(dir, "router.log"))
	if err != nil {
		t.Fatal(err)
	}
	process := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %q -config %q", descriptors, program, path))
	process.Stdout, process.Stderr = out, out
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = process.Process.Kill() // it may have ended
		_ = process.Wait()
		_ = out.Close()
		if text, err := os.ReadFile(out.Name()); err == nil && t.Failed() {
			t.Logf("end of the router's log:\n%s", text[max(0, len(text)-4000):])
		}
	})
	return process.Process.Pid
}

// lives reports whether the process runs.
func (m *machine) lives() bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.pid))
	if err != nil {
		return false
	}
	_, state, _ := strings.Cut(string(text), ") ")
	return !strings.HasPrefix(state, "Z") && !strings.HasPrefix(state, "X")
}

// peakMemory returns the largest resident size of the process so far, in bytes.
func (m *machine) peakMemory() int64 {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", m.pid))
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

// unreadBytes returns the bytes that have arrived at the sockets of the machine's listeners and that the process has not read.
func (m *machine) unreadBytes() (total int64) {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		m.t.Fatal(err)
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasPrefix(fields[1], m.network) || fields[3] == listenState {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		bytes, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			m.t.Fatal(err)
		}
		total += bytes
	}
	return total
}

// In /proc/net/tcp: the router's IP, 127.19.0.1 in host byte order, and the state of listeners.
const (
	routerNetwork = "0100137F:"
	listenState   = "0A"
)

// openDescriptors counts the descriptors of the process.
func (m *machine) openDescriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.pid))
	if err != nil {
		m.t.Fatal(err)
	}
	return len(list)
}

// Bounds of eventuallyServes. They only end a test whose process serves nobody.
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
			m.t.Fatal("the process has exited")
		}
		if last = m.serves(); last == nil {
			return
		}
		time.Sleep(attemptPause)
	}
	m.t.Fatalf("no ordinary request is served: %v", last)
}

// servesPlain sends an ordinary request to the router.
func servesPlain() error {
	return exchange(ordinaryBody, func(c net.Conn) error {
		return writeRequest(c, fmt.Sprintf("Content-Length: %d", ordinaryBody), func() error { return writeBytes(c, ordinaryBody) })
	})
}

// listeners are the addresses of the router's listeners.
var listeners = []listener{
	{"callers", callersAddress, routePrefix + "x", maxBodyBytes, ""},
	{"ready", readyAddress, "/v1/ready", 128 << 10, ""},
	{"hosts", hostsAddress, "/fleet/lend", 1 << 20, ""},
	{"metrics", metricsAddress, "/metrics", 128 << 10, ""},
}

// listener is one listener of the router.
type listener struct {
	name, address, path string
	maxBody             int    // that it reads
	headers             string // of requests, each with its end of line
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
		m.t.Fatal("the process has exited")
	}
	peak, open := m.peakMemory()+m.unreadBytes(), m.openDescriptors()
	m.t.Logf("peak memory %d MB of %d, %d descriptors of %d", peak>>20, memoryBytes>>20, open, descriptors)
	if peak > memoryBytes {
		m.t.Errorf("the process used %d MB, and its machine has %d", peak>>20, memoryBytes>>20)
	}
	if open > descriptors-freeDescriptors {
		m.t.Errorf("the process has %d descriptors open, and its machine has %d", open, descriptors)
	}
}
