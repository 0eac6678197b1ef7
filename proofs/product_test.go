package proofs

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/proofs/fleet"
)

// Guards the documented output and exit statuses of the command-line tool, which scripts rely on.
func TestCommandLine(t *testing.T) {
	is := is.New(t)
	f := fleet.Start(t, fleet.Options{Hosts: 3, Domains: 3, Targets: engines(time.Millisecond)})
	write := func(name, text string) string {
		path := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := write("good.ini", declarations(5000))
	better := write("better.ini", declarations(6000))
	bad := write("bad.ini", strings.Replace(declarations(5000), "to(\"plain\")", "to(\"plane\")", 1))
	for _, c := range []struct {
		status int
		want   string
		args   []string
	}{
		{0, "good.ini: ok", []string{"check", good}},
		{2, `section [policy save]: key "program": line 1, column 1: no pool "plane" is declared`, []string{"check", bad}},
		{2, "no such file", []string{"check", "/nonexistent"}},
		{2, `no pool "plane"`, []string{"apply", bad}},
		{5, "added", []string{"diff", good}},
		{0, "version 1 is in force", []string{"apply", good}},
		{0, "in force: version 1", []string{"diff", good}},
		{5, "changed  [budget main]", []string{"diff", better}},
		{0, "version 2 is in force", []string{"apply", "-base", "1", better}},
		{3, "conflict: made from version 1, but version 2 is in force", []string{"apply", "-base", "1", good}},
		{0, "tokens = 6000", []string{"get"}},
		{0, "main    6000", []string{"budgets"}},
		{0, "live", []string{"hosts"}},
		{1, "not_found", []string{"drain", "nobody"}},
		{2, "give one host's name", []string{"drain"}},
		{2, "neither text nor json", []string{"hosts", "-o", "yaml"}},
		{2, "give a -class", []string{"run"}},
	} {
		out, status := f.Tool(0, "", c.args...)
		if status != c.status || !strings.Contains(out, c.want) {
			t.Errorf("%v: status %d, want %d with %q:\n%s", c.args, status, c.status, c.want, out)
		}
	}
	out, _ := f.Tool(0, "", "budgets", "-o", "json")
	var budgets []struct{ Name string }
	is.NoErr(json.Unmarshal([]byte(out), &budgets))
	is.Equal(budgets[0].Name, "main")
	out, status := f.Tool(0, key+"\n", "hash")
	is.Equal(status, 0)
	is.Equal(len(strings.TrimSpace(out)), 64)

	keyFile := write("key", key+"\n")
	out, status = f.Tool(1, "a question", "run", "-key-file", keyFile, "-class", "chat", "-max-tokens", "5")
	is.Equal(status, 0)
	is.True(strings.Contains(out, "whole answer"))
	out, status = f.Tool(1, "a question", "run", "-key-file", keyFile, "-class", "nosuch")
	is.Equal(status, 1)
	is.True(strings.Contains(out, "not_found"))

	out, status = f.Tool(0, "", "drain", "h2")
	is.Equal(status, 0)
	is.Equal(out, "h2 is stopping\n")
	is.NoErr(f.WaitExit(2))
	f.Eventually("h2 has left the view", func() bool { return len(f.View(0)) == 2 })
}

// maststaged -check validates the settings and reports a fault in one line.
func TestDaemonCheck(t *testing.T) {
	is := is.New(t)
	f := fleet.Start(t, fleet.Options{Hosts: 1, Domains: 1})
	out, status := f.Daemon("-config", f.Settings(0), "-check")
	is.Equal(status, 0)
	is.True(strings.HasSuffix(out, ": ok\n"))
	path := filepath.Join(t.TempDir(), "bad.ini")
	is.NoErr(os.WriteFile(path, []byte("[host]\nname = x\n"), 0o600))
	out, status = f.Daemon("-config", path, "-check")
	is.Equal(status, 2)
	is.True(strings.Contains(out, path+`: section [host]: key "domain" is missing`))
}

// Guards against keys, prompts and responses in the log. Metrics have histograms for each organisation
// and class, and counters for each kind of outcome.
func TestLogsAndMetrics(t *testing.T) {
	is := is.New(t)
	f := fleet.Start(t, fleet.Options{Hosts: 1, Domains: 1, Targets: engines(time.Millisecond), Settings: "[log]\nlevel = debug\nformat = json\n"})
	f.Apply(declarations(1000))
	const prompt = "the prompt of somebody"
	a := f.Do(0, fleet.Request{Key: key, ID: "one", Class: "chat", Input: []byte(prompt), MaxTokens: 5})
	is.True(a.Whole)
	b := f.Do(0, fleet.Request{Key: key, ID: "two", Class: "chat", Input: []byte(prompt)})
	is.True(b.Whole)
	c := f.Do(0, fleet.Request{Key: key, ID: "three", Class: "chat", Input: make([]byte, 8000)})
	is.Equal(c.Kind, "budget")
	is.Equal(f.Do(0, fleet.Request{Key: "wrong-key", ID: "four", Class: "chat"}).Kind, "unauthenticated")
	is.Equal(f.Do(0, fleet.Request{Key: key, ID: strings.Repeat("x", 100), Class: "chat"}).Kind, "invalid")
	logged := f.Logged(0)
	for _, secret := range []string{key, "wrong-key", prompt, string(a.Data), "a-secret-of-hosts-only"} {
		is.True(!strings.Contains(logged, secret))
	}
	is.True(strings.Contains(logged, `"request":"three"`))
	metrics := f.Metrics(0)
	for _, want := range []string{
		`maststage_requests_total{organisation="org",class="chat",kind="ok"} 2`,
		`maststage_requests_total{organisation="org",class="chat",kind="budget"} 1`,
		`maststage_first_token_seconds_count{organisation="org",class="chat"} 2`,
		`maststage_token_gap_seconds_bucket{organisation="org",class="chat"`,
		`maststage_log_up 1`,
	} {
		if !strings.Contains(metrics, want) {
			t.Errorf("metrics lack %s", want)
		}
	}
}
