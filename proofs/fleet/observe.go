package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	maststagev1 "maststage.dev/api/maststage/v1"
	"maststage.dev/api/maststage/v1/maststagev1connect"
	"maststage.dev/lib/declare"
)

// Run is one execution of a request, as recorded by the target.
type Run struct {
	RequestID, Account, Target string
	From, Tokens               uint64 // tokens that the host already had, and tokens used by this run
	Start, End                 time.Time
}

// Ledger returns the recorded runs of all targets.
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

// UsedTokens returns the tokens that an account has used, as recorded by the targets.
func (f *Fleet) UsedTokens(account string) uint64 {
	f.T.Helper()
	var n uint64
	for _, r := range f.Ledger() {
		if r.Account == account {
			n += r.Tokens
		}
	}
	return n
}

// Runs returns the number of runs of each request of an account.
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

// Pid returns the process id of a host.
func (f *Fleet) Pid(i int) int { return f.Hosts[i].cmd.Process.Pid }

// Tool runs maststage against a host as the operator and returns its output and exit status.
func (f *Fleet) Tool(host int, stdin string, args ...string) (output string, status int) {
	cmd := exec.Command(filepath.Join(f.bin, "maststage"), args...)
	cmd.Env = append(os.Environ(), "MASTSTAGE_HOST="+f.Hosts[host].Listen, "MASTSTAGE_KEY="+operatorKey)
	cmd.Stdin = strings.NewReader(stdin)
	out, _ := cmd.CombinedOutput() // the exit status tells more than the error
	return string(out), cmd.ProcessState.ExitCode()
}

// Daemon runs maststaged with the given arguments and returns its output and exit status.
func (f *Fleet) Daemon(args ...string) (output string, status int) {
	cmd := exec.Command(filepath.Join(f.bin, "maststaged"), args...)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// Settings returns the path of a host's settings file.
func (f *Fleet) Settings(i int) string { return filepath.Join(f.dir, f.Hosts[i].Name+".ini") }

// Logged returns everything that a host has logged.
func (f *Fleet) Logged(i int) string {
	data, err := os.ReadFile(filepath.Join(f.dir, f.Hosts[i].Name+".log"))
	if err != nil {
		f.T.Fatal(err)
	}
	return string(data)
}

// Metrics returns a host's metrics in the text format.
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

// Operator returns an operator's client for a host.
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

// Operators returns the section of the declarations that declares the operator.
func Operators() string {
	return "[operator ops]\nkey_sha256 = " + declare.HashKey(operatorKey) + "\n"
}

// Apply publishes declarations through the first host and waits until they are in force on the
// given hosts, or on all hosts if none are given.
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

// VersionAt returns the configuration version in force on a host, or 0 if the host does not respond.
func (f *Fleet) VersionAt(i int) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	got, err := f.Operator(i).GetConfig(ctx, connect.NewRequest(&maststagev1.GetConfigRequest{}))
	if err != nil {
		return 0
	}
	return got.Msg.Version
}

// View returns the members that a host sees, or nil if the host does not respond.
func (f *Fleet) View(i int) []*maststagev1.Host {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	got, err := f.Operator(i).ListHosts(ctx, connect.NewRequest(&maststagev1.ListHostsRequest{}))
	if err != nil {
		return nil
	}
	return got.Msg.Hosts
}

// WaitMembers waits until the first host that responds sees n members.
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

// Budget returns a budget as a host sees it.
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

// Trace logs the lines that hosts logged about a request, in order of time, and its runs at the targets.
func (f *Fleet) Trace(id string) {
	f.T.Helper()
	var lines []string
	for i := range f.Hosts {
		for line := range strings.Lines(f.Logged(i)) {
			if strings.Contains(line, "request="+id+" ") || strings.Contains(line, "incarnation=") && !strings.Contains(line, "request=") {
				lines = append(lines, strings.TrimSpace(line))
			}
		}
	}
	slices.Sort(lines)
	f.T.Logf("log lines of the hosts about %s:\n%s", id, strings.Join(lines, "\n"))
	for _, r := range f.Ledger() {
		if r.RequestID == "org/"+id {
			f.T.Logf("%s ran it from chunk %d, %d tokens, %s to %s", r.Target, r.From, r.Tokens, r.Start.Format(time.StampMilli), r.End.Format(time.StampMilli))
		}
	}
}
