package capacity

import (
	"fmt"
	"strings"

	"maststage.dev/bench/measure"
)

// Page returns the generated part of docs/CAPACITY.md.
func Page(s Slopes) string {
	var b strings.Builder
	s.writeSlopes(&b)
	for _, z := range []Size{PetFood, Examora, Target} {
		fmt.Fprintf(&b, "\n### Control at each host, present version: %s (%d hosts)\n\n", z.Name, z.Hosts)
		writeRoles(&b, Present(z, s))
	}
	fmt.Fprintf(&b, "\n### Control at each host, with what is not built: target\n\n")
	writeRoles(&b, Planned(Target, s))
	writeLimits(&b, s)
	writeFailures(&b, s)
	writePath(&b, s)
	return b.String()
}

func (s Slopes) writeSlopes(b *strings.Builder) {
	b.WriteString("### Measured slopes\n\n| cost | unit | at sizes | measured |\n| --- | --- | --- | --- |\n")
	for _, x := range []measure.Slope{
		s.FoldBill, s.FoldTake, s.Replicas, s.SnapCost, s.PublishCost,
		s.FactBytes, s.BudgetBytes, s.HoldBytes, s.MemberBytes, s.SnapBytes, s.PublishSize,
		s.Idle, s.IdleRSS, s.Stream, s.Save,
	} {
		fmt.Fprintf(b, "| %s | %s | %s | %s |\n", x.Name, x.Unit, ints(x.At), floats(x.Costs))
	}
	for _, c := range s.Calls {
		fmt.Fprintf(b, "| call between hosts: %s | bytes | %s | %s |\n", c.Name, ints(c.At), floats(c.Bytes))
		fmt.Fprintf(b, "| call between hosts: %s, both sides | ns | %s | %s |\n", c.Name, ints(c.At), floats(c.CPU))
	}
	for _, t := range s.Throughput {
		fmt.Fprintf(b, "| processor of a lone host for a request of %d tokens | ns | at %.0f requests/s | %.0f |\n", t.Tokens, t.Requests, t.CPU)
	}
	b.WriteString("\n| record in the log | bytes |\n| --- | --- |\n")
	for _, k := range []string{"batch", "bill", "intent", "take", "settle", "return", "join", "evict", "flushed"} {
		fmt.Fprintf(b, "| %s | %.0f |\n", k, s.Record[k])
	}
}

func ints(list []int) string {
	var out []string
	for _, n := range list {
		out = append(out, fmt.Sprint(n))
	}
	return strings.Join(out, ", ")
}

func floats(list []float64) string {
	var out []string
	for _, f := range list {
		out = append(out, number(f))
	}
	return strings.Join(out, ", ")
}

func number(f float64) string {
	switch {
	case f >= 10_000_000:
		return fmt.Sprintf("%.0fM", f/1e6)
	case f >= 1_000_000:
		return fmt.Sprintf("%.1fM", f/1e6)
	case f >= 10_000:
		return fmt.Sprintf("%.0fk", f/1e3)
	case f >= 100:
		return fmt.Sprintf("%.0f", f)
	case f >= 10:
		return fmt.Sprintf("%.1f", f)
	case f == 0:
		return "0"
	}
	return fmt.Sprintf("%.3g", f)
}

func writeRoles(b *strings.Builder, roles []Role) {
	b.WriteString("| role | state, bytes | messages/s | bytes/s | % of a core | mechanism |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, r := range append(roles, Sum(roles, false), Sum(roles, true)) {
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s |\n", r.Name, number(r.State), number(r.Messages), number(r.Bytes), number(r.CPU), r.Mechanism)
	}
}

func writeLimits(b *strings.Builder, s Slopes) {
	now, plan := Sum(Present(Target, s), false), Sum(Planned(Target, s), false)
	b.WriteString("\n### Against the limits, at the target\n\n| limit | allowed | present version | with what is not built |\n| --- | --- | --- | --- |\n")
	row := func(name string, limit, now, plan float64) {
		fmt.Fprintf(b, "| %s | %s | %s (%s times) | %s (%s times) |\n", name, number(limit), number(now), number(now/limit), number(plan), number(plan/limit))
	}
	row("control, % of a core", LimitCPU, now.CPU, plan.CPU)
	row("control, bytes of memory beside the process itself", LimitMemory, now.State, plan.State)
	row("control, bytes/s", LimitBytes, now.Bytes, plan.Bytes)
	groups := float64(Target.Hosts) / groupHosts
	row("appends/s of the whole fleet", LimitAppends, appends(Target), groups*1.5+Target.Changes/day)
	fmt.Fprintf(b, "\nAppends: %d hosts that each append when they have something want %s a second (%.0f requests/s, one batch each at %.0f a second and host); the log takes 100, so a host would wait %.1f s for its turn. One writer for each group of %.0f makes %.0f groups x 1.5 = %.0f.\n",
		Target.Hosts, number(appends(Target)), Target.Requests, Target.Requests/float64(Target.Hosts), float64(Target.Hosts)/LimitAppends, groupHosts, groups, groups*1.5)
	size := s.PublishSize.Last() * float64(Target.Budgets)
	fmt.Fprintf(b, "\nConfiguration: %.0f changes a day are one each %.1f s. A change is the whole text today: %s bytes for %d organisations and %d budgets, checked in %.0f ms on each host; it must be in force everywhere within %.0f s. One append, one relay round and one check take well under a second once the log has it; the bytes, not the time, break the limit, and differences carry it.\n",
		Target.Changes, day/Target.Changes, number(size), Target.Orgs, Target.Budgets, s.PublishCost.Last()*float64(Target.Budgets)/1e6, LimitConfig)
}

func writeFailures(b *strings.Builder, s Slopes) {
	z := Target
	perHost := z.Requests / float64(z.Hosts)
	tokens := z.Tokens / float64(z.Hosts)
	state := min(z.Requests*3600, horizon)*s.SnapBytes.Last() + float64(z.Budgets)*s.BudgetBytes.Last()
	group := min(z.Requests/(float64(z.Hosts)/groupHosts)*3600, horizon) * s.SnapBytes.Last()
	b.WriteString("\n### What failures cost, at the target\n\n| event | how often | view changes | tokens stranded until the budget is raised | ids that move | state fetched |\n| --- | --- | --- | --- | --- | --- |\n")
	row := func(event, often string, views, hosts float64, stranded bool) {
		lost := "0, given back"
		if stranded {
			lost = number(hosts * tokens * allocationSeconds)
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s of the region's | %s bytes each (planned: %s) |\n",
			event, often, number(views), lost, share(hosts, float64(z.Hosts)/float64(z.Regions)), number(state), number(group))
	}
	row("a host dies", fmt.Sprintf("%.0f a day", z.Deaths), 2, 1, true)
	row("a host is restarted or replaced", fmt.Sprintf("%.0f a day", z.Replacements), 3, 1, false)
	row("a rack or switch (10 hosts)", "one a week", 20, 10, true)
	row("a failure domain (22 hosts)", "one or two a year", 44, 22, true)
	fmt.Fprintf(b, "| regions lose each other for an hour | now and then | 0 | 0 | none: an id belongs to its region | the hour's log on return |\n")
	fmt.Fprintf(b, "\nA host serves %.0f requests/s and %s tokens/s; a slice covers at most %.0f s of demand, so a death strands up to %s tokens (%.0f deaths a day: %s, that is %.1f s of the whole fleet's work). A region cut off for an hour spends what its hosts hold: a minute of demand or half of its even share of what was left, whichever is less, so it refuses after that unless slices are sized for the cut: %s tokens for each region and hour at the peak.\n",
		perHost, number(tokens), allocationSeconds, number(tokens*allocationSeconds), z.Deaths, number(z.Deaths*tokens*allocationSeconds), z.Deaths*tokens*allocationSeconds/z.Tokens, number(z.Tokens/float64(z.Regions)*3600))
}

func share(hosts, of float64) string { return fmt.Sprintf("%.1f%%", min(100, 100*hosts/of)) }

func writePath(b *strings.Builder, s Slopes) {
	z := Target
	perHost := z.Requests / float64(z.Hosts)
	perAnswer := z.Tokens / z.Requests
	base, perToken := requestCost(s.Throughput)
	cores := (perHost*base + z.Tokens/float64(z.Hosts)*perToken) / 1e9
	fmt.Fprintf(b, "\n### The request path, at the target\n\n")
	fmt.Fprintf(b, "- %.0f requests/s on %d hosts are %.0f a host; %s tokens/s are %.0f tokens an answer and %s tokens/s a host; %d runners on %d accelerators are %d a host.\n",
		z.Requests, z.Hosts, perHost, number(z.Tokens), perAnswer, number(z.Tokens/float64(z.Hosts)), z.Targets, z.Targets, z.Targets/z.Hosts)
	fmt.Fprintf(b, "- Processor: %s ns a request and %s ns a token on a lone host (from the slopes above) make %.2f cores a host; entry and owner are two hosts for most requests, which about doubles the part for tokens: %.2f cores.\n",
		number(base), number(perToken), cores, cores+z.Tokens/float64(z.Hosts)*perToken/1e9)
	fmt.Fprintf(b, "- Streams: at 50 ms between tokens an answer of %.0f tokens lasts %.0f s, so %.0f streams are open on a host, and twice that with entry and owner apart: %s bytes.\n",
		perAnswer, perAnswer*0.05, perHost*perAnswer*0.05, number(2*perHost*perAnswer*0.05*s.Stream.Last()))
	fmt.Fprintf(b, "- Hops: caller, entry host, owner host, target; one call between hosts more to hold the bill, and for what may not be repeated a claim at two more hosts and an entry in the log. Docs/MEASUREMENTS.md has the time that the hops add; it leaves first token within 1 s and 50 ms between tokens for 95 in 100 to the targets.\n")
	fmt.Fprintf(b, "- %d regions with %d failure domains: %.0f hosts a region, %.0f a failure domain; replicas, claims and the majority stay within a region.\n",
		z.Regions, z.Domains, float64(z.Hosts)/float64(z.Regions), float64(z.Hosts)/float64(z.Domains))
	fmt.Fprintf(b, "- %d budgets of %d organisations; the busiest is drawn on from all %d regions: every host takes slices of it for itself, %d holdings of %.0f bytes in the fold, and each take is one record of %.0f bytes in the log; in the plan one holding for each of %.0f groups.\n",
		z.Budgets, z.Orgs, z.Regions, z.Hosts, s.HoldBytes.Last(), s.Record["take"], float64(z.Hosts)/groupHosts)
	fmt.Fprintf(b, "- %d models are %d pools; a policy names the pool, so they cost an entry each in the configuration.\n", 39, 39)
}

// requestCost splits the processor time of requests into a base cost and a cost per
// token, from the first and the last measured size.
func requestCost(ts []measure.Throughput) (base, perToken float64) {
	first, last := ts[0], ts[len(ts)-1]
	perToken = (last.CPU - first.CPU) / float64(last.Tokens-first.Tokens)
	return first.CPU - perToken*float64(first.Tokens), perToken
}
