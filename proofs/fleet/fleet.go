// Package fleet starts a whole fleet for a test: stand-ins and hosts run as real
// processes, with fault-injecting proxies between the hosts and between each host and the log.
package fleet

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"maststage.dev/lib/declare"
)

const (
	operatorKey = "the-operators-key"
	secret      = "a-secret-of-hosts-only"
	startWait   = 20 * time.Second
)

// TB is the part of testing.TB that a fleet needs; a benchmark program implements it too.
type TB interface {
	Helper()
	Cleanup(func())
	TempDir() string
	Failed() bool
	Logf(format string, args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// Target describes a back end to start.
type Target struct {
	Name, Kind, Pool string
	Slots            int
	Each             time.Duration
	Fenced           bool
}

// Options describe the fleet to start.
type Options struct {
	Hosts    int
	Domains  int
	Regions  int // 0 means 1
	Retain   int // entries that the log retains; 0 means 1 000 000
	Targets  []Target
	Settings string   // appended to the settings file of each host
	Env      []string // added to the environment of each host
}

// Host is one maststaged process.
type Host struct {
	Name, Domain, Listen, Peer string
	Region                     string
	dir                        string
	cmd                        *exec.Cmd
	log                        *toxiproxy.Proxy
}

// Fleet is a running fleet.
type Fleet struct {
	T       TB
	Hosts   []*Host
	Log     string // address of the stand-in
	Members string
	Targets map[string]string
	bin     string
	dir     string
	links   map[[2]int]*toxiproxy.Proxy
	opts    Options
	version uint64
}

var build struct {
	sync.Once
	dir string
	err error
}

// binaries builds the programs, once for all tests of a package, and returns their folder.
func binaries() (string, error) {
	build.Do(func() {
		build.dir, build.err = os.MkdirTemp("", "maststage-bin-")
		if build.err != nil {
			return
		}
		out, err := exec.Command("go", "build", "-o", build.dir+"/",
			"maststage.dev/cmd/maststaged", "maststage.dev/cmd/maststage", "maststage.dev/standin/cmd/maststandin").CombinedOutput()
		if err != nil {
			build.err = fmt.Errorf("build failed: %w\n%s", err, out)
		}
	})
	return build.dir, build.err
}

// Clean removes the built programs; call it at the end of TestMain.
func Clean() { _ = os.RemoveAll(build.dir) }

// Start starts a fleet and waits until all hosts are members. The fleet is stopped at the end of the test.
func Start(t TB, o Options) *Fleet {
	t.Helper()
	bin, err := binaries()
	if err != nil {
		t.Fatal(err)
	}
	f := &Fleet{T: t, bin: bin, dir: t.TempDir(), opts: o, Targets: map[string]string{}, links: map[[2]int]*toxiproxy.Proxy{}}
	f.startPlatform()
	for i := range f.Hosts {
		f.StartHost(i)
	}
	f.WaitMembers(o.Hosts)
	return f
}

// Ports below the ephemeral range, so that the system can't assign one to a client between
// its choice and its use.
const (
	firstPort = 12000
	lastPort  = 30000
)

var nextPort atomic.Int64

// loopback returns an address that is unique to this process: test processes that run at the same
// time choose ports too, and could take one between its choice and its use.
func loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16%126, pid>>8%256, pid%256)
}

// freeAddress returns an unused loopback address and port.
func freeAddress(t TB) string {
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		addr := fmt.Sprintf("%s:%d", loopback(), port)
		if canListen(addr) {
			return addr
		}
	}
	t.Fatal("no unused loopback port found")
	return ""
}

// canListen reports whether an address can be listened on. It holds the fork lock: a child forked
// meanwhile inherits the listener until it execs, which would keep the address in use a moment longer.
func canListen(addr string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

func (f *Fleet) startPlatform() {
	o := f.opts
	f.Log, f.Members = freeAddress(f.T), freeAddress(f.T)
	retain := o.Retain
	if retain == 0 {
		retain = 1000000
	}
	f.startStandin("log", "-listen", f.Log, "-retain", fmt.Sprint(retain))
	args := []string{"-listen", f.Members}
	for i := range o.Hosts {
		h := &Host{
			Name: fmt.Sprintf("h%d", i), Domain: fmt.Sprintf("d%d", i%o.Domains),
			Region: fmt.Sprintf("r%d", i%max(o.Regions, 1)),
			Listen: freeAddress(f.T), Peer: freeAddress(f.T), dir: f.dir,
		}
		f.Hosts = append(f.Hosts, h)
		args = append(args, "-member", fmt.Sprintf("%s,%s,host,,%s,0", h.Name, h.Peer, h.Domain))
	}
	for i, g := range o.Targets {
		addr := freeAddress(f.T)
		f.Targets[g.Name] = addr
		fence := ""
		more := []string{}
		if g.Fenced {
			fence, more = ",fenced", []string{"-fenced"}
		}
		f.startStandin(g.Kind, append([]string{"-listen", addr, "-name", g.Name, "-slots", fmt.Sprint(g.Slots), "-each", g.Each.String()}, more...)...)
		args = append(args, "-member", fmt.Sprintf("%s,%s,%s,%s,d%d,%d%s", g.Name, addr, g.Kind, g.Pool, i%o.Domains, g.Slots, fence))
	}
	f.startStandin("members", args...)
	f.startProxies()
}

func (f *Fleet) startStandin(kind string, args ...string) {
	cmd := exec.Command(filepath.Join(f.bin, "maststandin"), append([]string{kind}, args...)...)
	cmd.Stderr = os.Stderr
	f.startProcess(cmd)
	f.waitListening(args[1])
}

func (f *Fleet) startProcess(cmd *exec.Cmd) {
	if err := cmd.Start(); err != nil {
		f.T.Fatal(err)
	}
	f.T.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
}

func (f *Fleet) waitListening(addr string) {
	f.Eventually("listening on "+addr, func() bool {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			return false
		}
		_ = c.Close()
		return true
	})
}

func (f *Fleet) startProxies() {
	quiet := zerolog.Nop()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), quiet)
	open := func(upstream string) *toxiproxy.Proxy {
		p := toxiproxy.NewProxy(server, upstream, freeAddress(f.T), upstream)
		if err := p.Start(); err != nil {
			f.T.Fatal(err)
		}
		f.T.Cleanup(p.Stop)
		return p
	}
	for i, from := range f.Hosts {
		from.log = open(f.Log)
		for j, to := range f.Hosts {
			if i != j {
				f.links[[2]int{i, j}] = open(to.Peer)
			}
		}
	}
}

// StartHost starts the process of a host, also after the previous one was killed.
func (f *Fleet) StartHost(i int) {
	h := f.Hosts[i]
	var via []string
	for j, to := range f.Hosts {
		if i != j {
			via = append(via, to.Peer+">"+f.links[[2]int{i, j}].Listen)
		}
	}
	ini := fmt.Sprintf("[host]\nname = %s\ndomain = %s\nregion = %s\nlisten = %s\npeer_listen = %s\npeer_address = %s\nfirst_key_sha256 = %s\n\n"+
		"[platform]\nlog = %s\nmembers = %s\n\n[peers]\nsecret = %s\nmap = %s\n\n[log]\nlevel = debug\n\n%s\n",
		h.Name, h.Domain, h.Region, h.Listen, h.Peer, h.Peer, declare.HashKey(operatorKey),
		h.log.Listen, f.Members, secret, strings.Join(via, ","), f.opts.Settings)
	path := filepath.Join(h.dir, h.Name+".ini")
	if err := os.WriteFile(path, []byte(ini), 0o600); err != nil {
		f.T.Fatal(err)
	}
	out, err := os.OpenFile(filepath.Join(h.dir, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.T.Fatal(err)
	}
	h.cmd = exec.Command(filepath.Join(f.bin, "maststaged"), "-config", path)
	h.cmd.Stderr = out
	h.cmd.Env = append(os.Environ(), f.opts.Env...)
	f.startProcess(h.cmd)
	f.T.Cleanup(func() {
		_ = out.Close()
		if f.T.Failed() {
			f.T.Logf("log of %s:\n%s", h.Name, tail(out.Name()))
		}
	})
	f.waitListening(h.Listen)
}

const tailBytes = 4000

func tail(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(data[max(len(data)-tailBytes, 0):])
}

// Eventually waits until cond holds, and fails the test after 20 s.
func (f *Fleet) Eventually(what string, cond func() bool) {
	f.T.Helper()
	for deadline := time.Now().Add(startWait); ; {
		if cond() {
			return
		}
		if time.Now().After(deadline) {
			f.T.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
