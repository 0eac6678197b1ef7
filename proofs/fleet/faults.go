package fleet

import (
	"io"
	"net/http"
	"syscall"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
)

// Kill kills a host's process and waits until it has exited.
func (f *Fleet) Kill(i int) {
	_ = f.Hosts[i].cmd.Process.Kill()
	_ = f.Hosts[i].cmd.Wait()
}

// Pause stops a host's process with SIGSTOP; Resume continues it.
func (f *Fleet) Pause(i int) { f.signal(i, syscall.SIGSTOP) }

// Resume continues a paused host.
func (f *Fleet) Resume(i int) { f.signal(i, syscall.SIGCONT) }

// Term asks a host for a graceful shutdown.
func (f *Fleet) Term(i int) { f.signal(i, syscall.SIGTERM) }

// WaitExit waits until a host's process has exited and returns its error.
func (f *Fleet) WaitExit(i int) error { return f.Hosts[i].cmd.Wait() }

func (f *Fleet) signal(i int, s syscall.Signal) {
	if err := f.Hosts[i].cmd.Process.Signal(s); err != nil {
		f.T.Fatal(err)
	}
}

// CutLog cuts hosts off from the log.
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

// Cut partitions the hosts in a from those in b, in both directions.
func (f *Fleet) Cut(a, b []int) { f.eachLink(a, b, func(p *toxiproxy.Proxy) { p.Stop() }) }

// Heal undoes Cut.
func (f *Fleet) Heal(a, b []int) { f.eachLink(a, b, f.restart) }

func (f *Fleet) restart(p *toxiproxy.Proxy) {
	if err := p.Start(); err != nil {
		f.T.Fatal(err)
	}
}

func (f *Fleet) eachLink(a, b []int, do func(*toxiproxy.Proxy)) {
	for _, i := range a {
		for _, j := range b {
			do(f.links[[2]int{i, j}])
			do(f.links[[2]int{j, i}])
		}
	}
}

// Switch sets fault switches of a stand-in: "log", "members" or a target's name.
func (f *Fleet) Switch(name, query string) {
	f.T.Helper()
	f.get(name, "/switch?"+query)
}

// Change changes the entry of a member in the membership list.
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
