// Mastcapacity measures costs at several sizes and writes the generated part of
// docs/CAPACITY.md.
package main

import (
	"flag"
	"fmt"
	"os"

	"maststage.dev/bench/capacity"
	"maststage.dev/bench/measure"
)

func main() {
	page := flag.String("page", "", "page to write the results into; empty: print")
	flag.Parse()
	s, err := slopes()
	if err == nil && *page != "" {
		err = measure.Insert(*page, "capacity", capacity.Page(s))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "mastcapacity:", err)
		os.Exit(1)
	}
	if *page == "" {
		fmt.Print(capacity.Page(s))
	}
}

func slopes() (s capacity.Slopes, err error) {
	s.Record = measure.Sizes()
	s.FoldBill = measure.FoldBill(1000, 10_000, 100_000)
	s.FoldTake = measure.FoldTake(10, 1000, 12_000)
	s.FactBytes = measure.FactBytes(1000, 10_000, 100_000)
	s.BudgetBytes, s.HoldBytes = measure.BudgetBytes(100, 1000, 12_000)
	s.MemberBytes = measure.MemberBytes(8, 57, 400)
	s.Replicas = measure.Replicas(8, 57, 400)
	s.SnapCost, s.SnapBytes = measure.Snapshot(1000, 10_000, 100_000)
	s.PublishCost, s.PublishSize = measure.Publish(10, 670, 4000)
	if s.Calls, err = measure.Calls(300, 3000, 30_000); err != nil {
		return s, err
	}
	if s.Idle, s.IdleRSS, err = measure.Idle(2, 4, 8); err != nil {
		return s, err
	}
	if s.Stream, err = measure.StreamBytes(200, 500, 1000); err != nil {
		return s, err
	}
	if s.Save, err = measure.SaveCPU(1, 3, 6); err != nil {
		return s, err
	}
	s.Throughput, err = measure.PerRequest(1, 20, 100)
	return s, err
}
