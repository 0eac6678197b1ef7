// Mastrefusals measures the false refusals and the overspend of several schemes of
// allocating budgets to hosts: the fleet's own and baselines to compare it with. It
// writes them into docs/design/false-refusals.md.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"

	"maststage.dev/bench/measure"
)

func main() {
	page := flag.String("page", "", "page to write the results into; empty: print only")
	flag.Parse()
	text, err := report()
	if err == nil && *page != "" {
		err = measure.Insert(*page, "refusals", text)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "mastrefusals:", err)
		os.Exit(1)
	}
	fmt.Print(text)
}

func report() (string, error) {
	var b strings.Builder
	for _, s := range measure.Scenarios {
		fmt.Fprintf(&b, "\n**%s** (%d tokens)\n\n| budgets given out | requests | whole | false refusals | overspend | stranded | budget used |\n| --- | --- | --- | --- | --- | --- | --- |\n", s.Name, s.Budget)
		for _, by := range measure.Schemes {
			r, err := measure.RunScenario(s, by)
			if err != nil {
				return "", fmt.Errorf("%s, %s: %w", s.Name, by.Name, err)
			}
			row(&b, by.Name, r)
		}
	}
	b.WriteString("\n**Engines overrun their maximum; the budget ends half way**\n\n| margin reserved | requests | whole | false refusals | overspend | stranded | budget used |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, m := range []int{0, 8, 32, 128} {
		r, err := measure.Margins(m)
		if err != nil {
			return "", fmt.Errorf("margin %d: %w", m, err)
		}
		row(&b, fmt.Sprint(m, " tokens"), r)
	}
	return b.String(), nil
}

func row(b *strings.Builder, name string, r measure.Refusals) {
	fmt.Fprintf(b, "| %s | %d | %d | %d | %d | %d | %.1f%% |\n", name, r.Requests, r.Whole, r.False, r.Overspend, r.Stranded, r.Used)
}
