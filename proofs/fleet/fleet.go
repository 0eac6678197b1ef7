// Package fleet starts a whole fleet for a test: stand-ins and hosts as real
// processes, with fault-injecting proxies between hosts and before the log.
package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"
	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	maststagev1 "maststage.dev/api/maststage/v1"
	"maststage.dev/api/maststage/v1/maststagev1connect"
	"maststage.dev/lib/declare"
)

const (
	operatorKey = "the-operators-key"
	secret      = "a-secret-of-hosts-only"
	startWait   = 20 * time.Second
)

// TB is what a fleet needs of a test, or of a program that measures one.
type TB interface {
	Helper()
	Cleanup(func())
	TempDir() string
	Failed() bool
	Logf(format string, args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// Target is a back end to start.
type Target struct {
	Name, Kind, Pool string
	Slots            int
	Each             time.Duration
	Fenced           bool
}

// Options say what to start.
type Options struct {
	Hosts    int
	Domains  int
	Regions  int // 0: one
	Retain   int // entries the log keeps, 0: many
	Targets  []Target
	Settings string   // more lines of each host's settings
	Env      []string // more environment of each host
}

// Host is one maststaged.
type Host struct {
	Name, Domain, Listen, Peer string
	Region                     string
	dir                        string
	cmd                        *exec.Cmd
	log                        *toxiproxy.Proxy
}

// Fleet is what was started.
type Fleet struct {
	T       TB
	Hosts   []*Host
	Log     string // stand-in's address
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

// binaries builds the programs once for all tests of a package.
func binaries() (string, error) {
	build.Do(func() {
		build.dir, build.err = os.MkdirTemp("", "maststage-bin-")
		if build.err != nil {
			return
		}
		out, err := exec.Command("go", "build", "-o", build.dir+"/",
			"maststage.dev/cmd/maststaged", "maststage.dev/cmd/maststage", "maststage.dev/standin/cmd/maststandin").CombinedOutput()
		if err != nil {
			build.err = fmt.Errorf("building: %w\n%s", err, out)
		}
	})
	return build.dir, build.err
}

// Clean removes what was built; call it at the end of TestMain.
func Clean() { _ = os.RemoveAll(build.dir) }

// Start starts a fleet and stops it at the end of the test.
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

// Ports below those that the system hands out to clients, so that none is taken
// between the choice and the use.
const (
	firstPort = 12000
	lastPort  = 30000
)

var nextPort atomic.Int64

// address gives a free one.
func address(t TB) string {
	for range lastPort - firstPort {
		n := nextPort.Add(1) + int64(os.Getpid())*97
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+n%(lastPort-firstPort))
		l, err := net.Listen("tcp", addr)
		if err == nil {
			_ = l.Close()
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}

func (f *Fleet) startPlatform() {
	o := f.opts
	f.Log, f.Members = address(f.T), address(f.T)
	retain := o.Retain
	if retain == 0 {
		retain = 1000000
	}
	f.standin("log", "-listen", f.Log, "-retain", fmt.Sprint(retain))
	args := []string{"-listen", f.Members}
	for i := range o.Hosts {
		h := &Host{
			Name: fmt.Sprintf("h%d", i), Domain: fmt.Sprintf("d%d", i%o.Domains),
			Region: fmt.Sprintf("r%d", i%max(o.Regions, 1)),
			Listen: address(f.T), Peer: address(f.T), dir: f.dir,
		}
		f.Hosts = append(f.Hosts, h)
		args = append(args, "-member", fmt.Sprintf("%s,%s,host,,%s,0", h.Name, h.Peer, h.Domain))
	}
	for i, g := range o.Targets {
		addr := address(f.T)
		f.Targets[g.Name] = addr
		fence := ""
		more := []string{}
		if g.Fenced {
			fence, more = ",fenced", []string{"-fenced"}
		}
		f.standin(g.Kind, append([]string{"-listen", addr, "-name", g.Name, "-slots", fmt.Sprint(g.Slots), "-each", g.Each.String()}, more...)...)
		args = append(args, "-member", fmt.Sprintf("%s,%s,%s,%s,d%d,%d%s", g.Name, addr, g.Kind, g.Pool, i%o.Domains, g.Slots, fence))
	}
	f.standin("members", args...)
	f.startProxies()
}

func (f *Fleet) standin(kind string, args ...string) {
	cmd := exec.Command(filepath.Join(f.bin, "maststandin"), append([]string{kind}, args...)...)
	cmd.Stderr = os.Stderr
	f.start(cmd)
	f.waitListening(args[1])
}

func (f *Fleet) start(cmd *exec.Cmd) {
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
		p := toxiproxy.NewProxy(server, upstream, address(f.T), upstream)
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

// StartHost starts the process of a host, again if it was killed.
func (f *Fleet) StartHost(i int) {
	h := f.Hosts[i]
	var via []string
	for j, to := range f.Hosts {
		if i != j {
			via = append(via, to.Peer+">"+f.links[[2]int{i, j}].Listen)
		}
	}
	ini := fmt.Sprintf("[host]\nname = %s\ndomain = %s\nregion = %s\nlisten = %s\npeer_listen = %s\npeer_address = %s\nfirst_key_sha256 = %s\n\n"+
		"[platform]\nlog = %s\nmembers = %s\n\n[peers]\nsecret = %s\nmap = %s\n\n%s\n",
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
	f.start(h.cmd)
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

// Pid is the process id of a host.
func (f *Fleet) Pid(i int) int { return f.Hosts[i].cmd.Process.Pid }

// Tool runs maststage against a host as the operator and gives its output and
// exit status.
func (f *Fleet) Tool(host int, stdin string, args ...string) (output string, status int) {
	cmd := exec.Command(filepath.Join(f.bin, "maststage"), args...)
	cmd.Env = append(os.Environ(), "MASTSTAGE_HOST="+f.Hosts[host].Listen, "MASTSTAGE_KEY="+operatorKey)
	cmd.Stdin = strings.NewReader(stdin)
	out, _ := cmd.CombinedOutput() // the status says more than the error
	return string(out), cmd.ProcessState.ExitCode()
}

// Daemon runs maststaged with other arguments than a host's.
func (f *Fleet) Daemon(args ...string) (output string, status int) {
	cmd := exec.Command(filepath.Join(f.bin, "maststaged"), args...)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// Settings is the path of a host's settings.
func (f *Fleet) Settings(i int) string { return filepath.Join(f.dir, f.Hosts[i].Name+".ini") }

// Logged is all that a host has logged.
func (f *Fleet) Logged(i int) string {
	data, err := os.ReadFile(filepath.Join(f.dir, f.Hosts[i].Name+".log"))
	if err != nil {
		f.T.Fatal(err)
	}
	return string(data)
}

// Metrics reads a host's metrics.
func (f *Fleet) Metrics(i int) string {
	res, err := http.Get("http://" + f.Hosts[i].Listen + "/metrics")
	if err != nil {
		f.T.Fatal(err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		f.T.Fatal(err)
	}
	return string(data)
}

// Kill ends a host at once.
func (f *Fleet) Kill(i int) {
	_ = f.Hosts[i].cmd.Process.Kill()
	_ = f.Hosts[i].cmd.Wait()
}

// Freeze stops a host's process without ending it; Thaw lets it go on.
func (f *Fleet) Freeze(i int) { f.signal(i, syscall.SIGSTOP) }

// Thaw lets a frozen host go on.
func (f *Fleet) Thaw(i int) { f.signal(i, syscall.SIGCONT) }

// Term asks a host for a planned stop.
func (f *Fleet) Term(i int) { f.signal(i, syscall.SIGTERM) }

// Ended waits until a host's process has ended and gives its error.
func (f *Fleet) Ended(i int) error { return f.Hosts[i].cmd.Wait() }

func (f *Fleet) signal(i int, s syscall.Signal) {
	if err := f.Hosts[i].cmd.Process.Signal(s); err != nil {
		f.T.Fatal(err)
	}
}

// CutLog cuts hosts off from the log, HealLog undoes it.
func (f *Fleet) CutLog(hosts ...int) {
	for _, i := range hosts {
		f.Hosts[i].log.Stop()
	}
}

// HealLog undoes CutLog.
func (f *Fleet) HealLog(hosts ...int) {
	for _, i := range hosts {
		f.restart(f.Hosts[i].log)
	}
}

// Cut cuts the hosts on one side off from those on the other, both ways.
func (f *Fleet) Cut(a, b []int) { f.each(a, b, func(p *toxiproxy.Proxy) { p.Stop() }) }

// Heal undoes Cut.
func (f *Fleet) Heal(a, b []int) { f.each(a, b, f.restart) }

func (f *Fleet) restart(p *toxiproxy.Proxy) {
	if err := p.Start(); err != nil {
		f.T.Fatal(err)
	}
}

func (f *Fleet) each(a, b []int, do func(*toxiproxy.Proxy)) {
	for _, i := range a {
		for _, j := range b {
			do(f.links[[2]int{i, j}])
			do(f.links[[2]int{j, i}])
		}
	}
}

// Switch sets switches of a stand-in: "log", "members" or a target.
func (f *Fleet) Switch(name, query string) {
	f.T.Helper()
	f.get(name, "/switch?"+query)
}

// Change changes the membership list.
func (f *Fleet) Change(member, do string) {
	f.T.Helper()
	f.get("members", "/change?name="+member+"&do="+do)
}

func (f *Fleet) get(name, path string) []byte {
	f.T.Helper()
	addr := f.Targets[name]
	switch name {
	case "log":
		addr = f.Log
	case "members":
		addr = f.Members
	}
	res, err := http.Get("http://" + addr + path)
	if err != nil {
		f.T.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		f.T.Fatalf("%s%s: %s %s %v", name, path, res.Status, body, err)
	}
	return body
}

// Run is what a target's own record says of an order.
type Run struct {
	RequestID, Account, Target string
	Tokens                     uint64
	Start, End                 time.Time
}

// Ledger reads the records of all targets.
func (f *Fleet) Ledger() []Run {
	f.T.Helper()
	var all []Run
	for name := range f.Targets {
		var runs []Run
		if err := json.Unmarshal(f.get(name, "/ledger"), &runs); err != nil {
			f.T.Fatal(err)
		}
		all = append(all, runs...)
	}
	return all
}

// Used is what the targets say an account has used.
func (f *Fleet) Used(account string) uint64 {
	f.T.Helper()
	var n uint64
	for _, r := range f.Ledger() {
		if r.Account == account {
			n += r.Tokens
		}
	}
	return n
}

// Runs counts the runs of each request of an account.
func (f *Fleet) Runs(account string) map[string]int {
	f.T.Helper()
	runs := map[string]int{}
	for _, r := range f.Ledger() {
		if r.Account == account {
			runs[r.RequestID]++
		}
	}
	return runs
}

// Eventually waits until a condition holds.
func (f *Fleet) Eventually(what string, cond func() bool) {
	f.T.Helper()
	for deadline := time.Now().Add(startWait); ; {
		if cond() {
			return
		}
		if time.Now().After(deadline) {
			f.T.Fatalf("not in time: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Operator gives a client of a host for operators.
func (f *Fleet) Operator(i int) maststagev1connect.OperatorClient {
	return maststagev1connect.NewOperatorClient(http.DefaultClient, "http://"+f.Hosts[i].Listen, withKey(operatorKey))
}

func withKey(key string) connect.ClientOption {
	return connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set("Authorization", "Bearer "+key)
			return next(ctx, r)
		}
	}))
}

// Operators is the section that declares the operator.
func Operators() string {
	return "[operator ops]\nkey_sha256 = " + declare.HashKey(operatorKey) + "\n"
}

// Apply publishes declarations through a host and waits until all the given
// hosts have them in force.
func (f *Fleet) Apply(text string, hosts ...int) {
	f.T.Helper()
	got, err := f.Operator(0).Publish(context.Background(), connect.NewRequest(&maststagev1.PublishRequest{BaseVersion: f.version, Text: text}))
	if err != nil {
		f.T.Fatal(err)
	}
	f.version = got.Msg.Version
	if len(hosts) == 0 {
		for i := range f.Hosts {
			hosts = append(hosts, i)
		}
	}
	for _, i := range hosts {
		f.Eventually(fmt.Sprintf("version %d on h%d", f.version, i), func() bool { return f.VersionAt(i) >= f.version })
	}
}

// VersionAt is the version in force on a host, 0 if it does not answer.
func (f *Fleet) VersionAt(i int) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	got, err := f.Operator(i).GetConfig(ctx, connect.NewRequest(&maststagev1.GetConfigRequest{}))
	if err != nil {
		return 0
	}
	return got.Msg.Version
}

// Members is the view of a host, nil if it does not answer.
func (f *Fleet) View(i int) []*maststagev1.Host {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	got, err := f.Operator(i).ListHosts(ctx, connect.NewRequest(&maststagev1.ListHostsRequest{}))
	if err != nil {
		return nil
	}
	return got.Msg.Hosts
}

// WaitMembers waits until the first host that answers sees n members.
func (f *Fleet) WaitMembers(n int) {
	f.T.Helper()
	f.Eventually(fmt.Sprintf("%d members", n), func() bool {
		for i := range f.Hosts {
			if v := f.View(i); v != nil {
				return len(v) == n
			}
		}
		return false
	})
}

// Budget is an account as a host sees it.
func (f *Fleet) Budget(i int, name string) *maststagev1.Budget {
	f.T.Helper()
	got, err := f.Operator(i).ListBudgets(context.Background(), connect.NewRequest(&maststagev1.ListBudgetsRequest{}))
	if err != nil {
		f.T.Fatal(err)
	}
	for _, b := range got.Msg.Budgets {
		if b.Name == name {
			return b
		}
	}
	f.T.Fatalf("no budget %s", name)
	return nil
}
