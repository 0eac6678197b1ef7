// Package world starts a small deployment for a case: the store, runners and routers as separate processes on free
// loopback ports, each router with the command and the settings template of the deploy file.
package world

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	Failed = 2
)

// World is one deployment and the record of what was seen of it.
type World struct {
	Root    string // of the repository
	Trouble bool

	dir    string
	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	procs  []*Process
	store  string
	seeds  []string
}

// New makes a world that writes its record into the folder of the case. The repository is the working directory.
func New(caseDir string) *World {
	root, err := os.Getwd()
	check(err)
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	file, err := os.Create(filepath.Join(caseDir, "record.txt"))
	check(err)
	return &World{Root: root, Trouble: os.Getenv("TROUBLE") != "0", dir: dir, file: file, record: bufio.NewWriter(file)}
}

// check ends a case that could not run.
func check(err error) {
	if err != nil {
		panic(fmt.Sprintf("the case could not run: %v", err))
	}
}

// Run runs a case, ends all of its processes and exits with the status that it returns.
func (w *World) Run(play func() int) {
	status := Failed
	func() {
		defer func() {
			if r := recover(); r != nil {
				w.Note("%v", r)
			}
		}()
		status = play()
	}()
	for _, p := range w.procs {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGKILL)
		<-p.ended
	}
	w.appendLogs()
	w.Note("exit status %d", status)
	w.mu.Lock()
	_ = w.record.Flush()
	_ = w.file.Close()
	w.mu.Unlock()
	_ = os.RemoveAll(w.dir)
	os.Exit(status)
}

// Note writes a line into the record.
func (w *World) Note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
	if !strings.HasPrefix(format, "client") {
		fmt.Print(line)
	}
}

// appendLogs adds what the runners wrote to the record.
func (w *World) appendLogs() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.procs {
		if !p.logged {
			continue
		}
		data, _ := os.ReadFile(p.output)
		fmt.Fprintf(w.record, "\n--- output of %s\n%s", p.Name, data)
	}
	_, _ = w.record.WriteString("\n")
}

// Process is a process that the case started.
type Process struct {
	Name   string
	cmd    *exec.Cmd
	output string
	logged bool
	ended  chan struct{}
}

// Signal sends a signal to the process if it has not ended.
func (p *Process) Signal(s syscall.Signal) {
	select {
	case <-p.ended:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

func (w *World) launch(name string, logged bool, env []string, program string, args ...string) *Process {
	p := &Process{Name: name, output: filepath.Join(w.dir, fmt.Sprintf("%d-%s.out", time.Now().UnixNano(), name)), logged: logged, ended: make(chan struct{})}
	out, err := os.Create(p.output)
	check(err)
	p.cmd = exec.Command(program, args...)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = w.Root, out, out
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}, env...)
	check(p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		_ = out.Close()
		close(p.ended)
	}()
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	return p
}

// standin is the path of a program that build.sh builds.
func (w *World) standin(name string) string {
	return filepath.Join(w.Root, "target", "review", name)
}

// Ports that are taken from: below those that the kernel gives to outgoing connections.
const firstPort, lastPort = 15000, 32000

var taken = map[int]bool{}

// FreeAddress returns a free loopback address that it has not returned before.
func FreeAddress() string {
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if taken[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		taken[port] = true
		return address
	}
}

// StartStore starts the store with a configuration.
func (w *World) StartStore(config any) {
	data, err := json.Marshal(config)
	check(err)
	path := filepath.Join(w.dir, "config.json")
	check(os.WriteFile(path, data, 0o600))
	w.store = FreeAddress()
	w.launch("store", false, nil, w.standin("store"), "-listen", w.store, "-config", path)
	w.await(w.store, 5*time.Second)
}

// await waits until something listens on an address.
func (w *World) await(address string, limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if c, err := net.DialTimeout("tcp", address, time.Second); err == nil {
			_ = c.Close()
			return
		}
	}
	panic("the case could not run: nothing listens on " + address)
}

// StartRunner starts an incarnation of a runner.
func (w *World) StartRunner(id, service, zone, address string, more ...string) *Process {
	args := append([]string{"-id", id, "-service", service, "-zone", zone, "-listen", address, "-store", w.store}, more...)
	w.Note("runner %s of %s starts at %s", id, service, address)
	return w.launch(id, true, nil, w.standin("runner"), args...)
}

// Router is one machine of the system.
type Router struct {
	*Process
	Name, Front, ready string
}

// StartRouters starts a router in each of the zones.
func (w *World) StartRouters(zones ...string) []*Router {
	var routers []*Router
	var peers []string
	for range zones {
		peers = append(peers, FreeAddress())
	}
	for i, zone := range zones {
		r := &Router{Name: fmt.Sprintf("front-%s-%d", zone, i+1), Front: FreeAddress(), ready: FreeAddress()}
		metrics := FreeAddress()
		text := fmt.Sprintf(settingsText, r.Name, zone, zone, r.Front, r.ready, peers[i], metrics, strings.Join(peers[:min(3, len(peers))], ","), w.store)
		path := filepath.Join(w.dir, r.Name+".ini")
		check(os.WriteFile(path, []byte(text), 0o600))
		r.Process = w.launch(r.Name, false, []string{"MASTSTAGE_BOOT=" + path}, filepath.Join(w.Root, "target", "maststage-router"))
		routers = append(routers, r)
	}
	for _, r := range routers {
		w.awaitReady(r, 15*time.Second)
	}
	return routers
}

// settingsText is deploy/router.ini with the figures of the sheet.
const settingsText = `[host]
name = %s
domain = %s
regions = %s=lk-west
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

[bounds]
drain_ms = 2000
grace_s = 8
retry_ratio = 0.2
retry_slack = 52
retry_window_s = 10
config_ms = 2000
`

// Ready reports whether the router calls itself ready.
func (r *Router) Ready() bool {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + r.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *World) awaitReady(r *Router, limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r.Ready() {
			w.Note("%s is ready", r.Name)
			return
		}
	}
	panic("the case could not run: " + r.Name + " is not ready")
}

// Log returns the lines of a process's output that contain a text.
func (w *World) Log(p *Process, contains string) []string {
	file, err := os.Open(p.output)
	check(err)
	defer file.Close()
	data, _ := io.ReadAll(file)
	var lines []string
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.Contains(line, contains) {
			lines = append(lines, line)
		}
	}
	return lines
}

// Write appends a record to a keyed topic of the store, as another writer would.
func (w *World) Write(topic, key string, value any) {
	data, err := json.Marshal(value)
	check(err)
	body := binary.BigEndian.AppendUint32(nil, uint32(1+len(key)+len(data)))
	body = append(append(append(body, byte(len(key))), key...), data...)
	resp, err := http.Post("http://"+w.store+"/v1/log-append?part=0&topic="+topic, "application/octet-stream", bytes.NewReader(body))
	check(err)
	_ = resp.Body.Close()
}

// Answered reports whether a runner's record says that it answered a request.
func (w *World) Answered(id string) bool {
	for _, p := range w.procs {
		if p.logged && len(w.Log(p, "answers "+id)) > 0 {
			return true
		}
	}
	return false
}
