package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// router is one process of the project's router, started as the deploy file says.
type router struct {
	name          string
	listen, ready string
	peer, metrics string
	settings      string // path
	settingsText  string
	process       *exec.Cmd
	ended         chan struct{}
	output        *os.File
	up            atomic.Bool // it is ready
}

const settingsForm = `[host]
name = %s
domain = colombo-a
regions = colombo-a=lk-west
listen = %s
ready_listen = %s
peer_listen = %s
metrics_listen = %s
seeds = %s

[log]
address = %s
partitions = 12
record_bytes = 262144

[capacity]
link_mbps = 1000.0
memory_mb = 284
descriptors = 4200

[bounds]
drain_ms = 2000
grace_s = GRACE
retry_ratio = 0.2
retry_slack = 52
retry_window_s = 10
config_ms = 2000
`

// loopback is the address that this run uses, so that runs at the same time take no ports from each other.
var loopback = fmt.Sprintf("127.%d.%d.%d", 20+rand.IntN(200), rand.IntN(250), 1+rand.IntN(250))

// takenAddresses are those that freeAddress has returned.
var takenAddresses = map[string]bool{}

// freeAddress returns an address of the loopback network at which nobody listens, another one each time.
func freeAddress() (string, error) {
	for {
		l, err := net.Listen("tcp", loopback+":0")
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		_ = l.Close()
		if !takenAddresses[address] {
			takenAddresses[address] = true
			return address, nil
		}
	}
}

// newRouter writes the settings of a router. seed is the peer address of another one, its own if empty.
func newRouter(w *world, name, seed string) (*router, error) {
	r := &router{name: name, settings: filepath.Join(w.temp, name+".conf")}
	for _, address := range []*string{&r.listen, &r.ready, &r.peer, &r.metrics} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	if seed == "" {
		seed = r.peer
	}
	r.settingsText = fmt.Sprintf(settingsForm, name, r.listen, r.ready, r.peer, r.metrics, seed, w.store.address())
	return r, r.writeSettings(graceS)
}

// graceS is the grace time of a stop at first.
const graceS = 8

func (r *router) writeSettings(grace int) error {
	text := strings.Replace(r.settingsText, "GRACE", fmt.Sprint(grace), 1)
	next := r.settings + ".new"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, r.settings)
}

// start starts the process and waits until it counts as ready.
func (r *router) start(w *world) error {
	output, err := os.OpenFile(filepath.Join(w.temp, r.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	r.output = output
	r.process = exec.Command(w.routerProgram)
	r.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MASTSTAGE_BOOT=" + r.settings}
	r.process.Stdout, r.process.Stderr = output, output
	if err := r.process.Start(); err != nil {
		return err
	}
	r.ended = make(chan struct{})
	go func() {
		_ = r.process.Wait()
		w.rec.logf("process of router %s ended: %v", r.name, r.process.ProcessState)
		close(r.ended)
	}()
	for range 400 {
		resp, err := http.Get("http://" + r.ready + "/v1/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				w.rec.logf("router %s is ready", r.name)
				r.up.Store(true)
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("router %s is not ready", r.name)
}

func (r *router) signal(w *world, sig syscall.Signal) {
	w.rec.logf("%v to router %s", sig, r.name)
	_ = r.process.Process.Signal(sig)
}

func (r *router) kill() {
	if r.process == nil || r.process.Process == nil {
		return
	}
	_ = r.process.Process.Kill()
	if r.ended != nil {
		<-r.ended
	}
	_ = r.output.Close()
}
