package node

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/standin/backend"
)

// Over several hosts, one of them killed, no more tokens are used than were prepaid.
func TestBudgetIsNotOverspentWhenAHostIsKilled(t *testing.T) {
	f := newFleet(t)
	const limit = 5000 // 50 requests of 100 tokens at most, 62 in fact
	f.publish(config(1, engineRoute, fmt.Sprintf(`,"organisations":[{"name":"o","keys":["k"],"prepaid":%d}]`, limit)))
	e := f.engine("e1", backend.Behaviour{Events: 20})
	a := f.start(f.settings("a"))
	b := f.start(f.settings("b"))
	f.ready(a)
	f.ready(b)
	served := 0
	for range 10 {
		for _, h := range []*host{a, b} {
			if f.call(h, "/e/x", "k").status == 200 {
				served++
			}
		}
	}
	f.is.Equal(served, 20)
	b.kill()
	<-b.done
	c := f.start(f.settings("b"))
	f.ready(c)
	refused := 0
	for range 60 {
		for _, h := range []*host{a, c} {
			switch got := f.call(h, "/e/x", "k"); got.status {
			case 200:
				served++
			case 503:
				refused++
			default:
				f.t.Fatalf("status %d %v", got.status, got.err)
			}
		}
	}
	const used = 60 + 20 // tokens in, and out
	f.is.Equal(len(e.Runs()), served)
	f.is.True(served*used <= limit)
	f.is.True(refused > 0)
}

// A host whose own network link is saturated is not ready, so that its callers are balanced elsewhere.
func TestOverloadedHostIsNotReady(t *testing.T) {
	f := newFleet(t)
	f.publish(config(1, plainRoute, ""))
	h := f.start(f.settings("h1"))
	f.ready(h)
	for i := range 10 {
		h.overload.RecordDial(fmt.Sprint("t", i), time.Second, time.Now())
	}
	f.is.True(!h.Ready())
}

func TestReloadAppliesValidSettingsOnly(t *testing.T) {
	f := newFleet(t)
	cfg := f.settings("h1")
	h := f.start(cfg)
	write := func(text string) string {
		path := filepath.Join(t.TempDir(), "s.ini")
		f.is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	base := fmt.Sprintf("[host]\nname=h1\ndomain=z1\nlisten=%s\nready_listen=%s\npeer_listen=%s\n[log]\naddress=127.0.0.1:1\n",
		cfg.Host.Listen, cfg.Host.ReadyListen, cfg.Host.PeerListen)
	h.Reload(write(base + "[bounds]\nretry_slack=0\nretry_ratio=0\n[output]\nlevel=warning\n"))
	f.is.Equal(log.GetLevel(), log.WarnLevel)
	f.is.True(!h.retries.ForService("s").Spend(time.Now()))
	h.Reload(write(base + "[bounds]\nretry_slack=bad\n")) // changes nothing
	f.is.Equal(h.reloaded.Bounds.RetrySlack, 0.0)
	h.Reload(filepath.Join(t.TempDir(), "missing.ini"))
	f.is.Equal(h.reloaded.Bounds.RetrySlack, 0.0)
	log.SetLevel(log.InfoLevel)
}

func TestMetricsAreServed(t *testing.T) {
	f := newFleet(t)
	f.publish(config(1, plainRoute, `,"organisations":[{"name":"o","keys":["k"],"prepaid":1000}]`))
	f.backend("t1", backend.Behaviour{Body: "one"})
	h := f.start(f.settings("h1"))
	f.ready(h)
	f.eventually("it serves", func() bool { return f.call(h, "/r/x", "k").status == 200 })
	resp, err := http.Get("http://" + h.cfg.Host.MetricsListen + "/metrics")
	f.is.NoErr(err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	f.is.NoErr(err)
	for _, want := range []string{"maststage_requests_total{", "maststage_request_seconds_bucket{", "maststage_config_version 1", "maststage_targets_ready 1", "maststage_budget_limit_tokens{organisation=\"o\"} 1000"} {
		f.is.True(strings.Contains(string(text), want))
	}
}

// Guards against a gauge that shows no source of the log's topics, or several.
func TestGaugeShowsTheSourceOfTheLog(t *testing.T) {
	f := newFleet(t)
	h := f.start(f.settings("h1"))
	f.publish(config(1, plainRoute, ""))
	f.ready(h)
	resp, err := http.Get("http://" + h.cfg.Host.MetricsListen + "/metrics")
	f.is.NoErr(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	f.is.NoErr(err)
	for source, value := range map[string]int{"undecided": 0, "direct": 1, "reading": 0, "following": 0} {
		f.is.True(strings.Contains(string(body), fmt.Sprintf("maststage_log_source{source=%q} %d\n", source, value)))
	}
}
