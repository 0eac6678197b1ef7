// Mastbench measures one host and a small fleet, and compares the fleet with direct calls
// to a target. It writes the generated part of docs/MEASUREMENTS.md.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"maststage.dev/bench/measure"
)

func main() {
	page := flag.String("page", "", "page to write the results into; empty: print only")
	flag.Parse()
	text, err := report()
	if err == nil && *page != "" {
		err = measure.Insert(*page, "bench", text)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "mastbench:", err)
		os.Exit(1)
	}
	fmt.Print(text)
}

const (
	streams   = 50
	rounds    = 4
	tokenTime = 10 * time.Millisecond
)

func report() (string, error) {
	var b strings.Builder
	direct, through, err := measure.Compare(6, streams, rounds, tokenTime)
	if err != nil {
		return "", err
	}
	b.WriteString("| 6 hosts, 50 streams at once, 10 ms a token | direct | through the fleet | added | ratio |\n| --- | --- | --- | --- | --- |\n")
	row(&b, "time to first token", direct.First, through.First)
	row(&b, "time between tokens", direct.Gap, through.Gap)
	ts, err := measure.PerRequest(0, 1, 20, 100)
	if err != nil {
		return "", err
	}
	b.WriteString("\n| one host on one core | requests/s | tokens/s | processor for a request |\n| --- | --- | --- | --- |\n")
	for _, t := range ts {
		name := fmt.Sprintf("answers of %d tokens", t.Tokens)
		if t.Tokens == 0 {
			name = "calls of a plain service"
		}
		fmt.Fprintf(&b, "| %s | %.0f | %.0f | %.0f us |\n", name, t.Requests, t.Requests*float64(t.Tokens), t.CPU/1000)
	}
	m, err := measure.StreamBytes(200, 500, 1000)
	if err != nil {
		return "", err
	}
	b.WriteString("\n| open streams | memory for each |\n| --- | --- |\n")
	for i, n := range m.At {
		fmt.Fprintf(&b, "| %d | %.1f KB |\n", n, m.Costs[i]/1000)
	}
	as, err := measure.MeasureAdmission(2, 20, 200)
	if err != nil {
		return "", err
	}
	b.WriteString("\n| one admission decision (policy, budget, choice of target) | time | allocations |\n| --- | --- | --- |\n")
	for _, a := range as {
		fmt.Fprintf(&b, "| %d targets in the pool | %.0f ns | %d |\n", a.Targets, a.NS, a.Allocs)
	}
	return b.String(), nil
}

func row(b *strings.Builder, name string, direct, through *hdr.Histogram) {
	for _, q := range []struct {
		name string
		at   float64
	}{{"median", 50}, {"p99", 99}} {
		d, t := direct.ValueAtQuantile(q.at), through.ValueAtQuantile(q.at)
		fmt.Fprintf(b, "| %s, %s | %.2f ms | %.2f ms | %.2f ms | %.2f |\n", name, q.name,
			float64(d)/1000, float64(t)/1000, float64(t-d)/1000, float64(t)/float64(max(d, 1)))
	}
}
