package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"maststage.dev/lib/account"
)

// accountCmd shows where the tokens of budgets are, from the logs of routers.
type accountCmd struct {
	organisation string
	every        time.Duration
	silent       time.Duration
	asJSON       bool
}

func (*accountCmd) Name() string     { return "account" }
func (*accountCmd) Synopsis() string { return "show where the tokens of budgets are, from hosts' logs" }
func (*accountCmd) Usage() string {
	return "maststage account [flags] FILE...\n" +
		"  Reads the \"budget held\" lines of the hosts' logs; - is standard input. In tokens:\n" +
		"  granted = used + reserved + keepers + others + on the way + died + written off + untold.\n"
}

func (c *accountCmd) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.organisation, "organisation", "", "show only this organisation")
	fs.DurationVar(&c.every, "every", 0, "interval between rows, from the first line to the last; 0: only the state at the end")
	fs.DurationVar(&c.silent, "silent", 0, "a host that reports nothing for this long counts as exited; 0: only one that was restarted")
	fs.BoolVar(&c.asJSON, "json", false, "print JSON")
}

func (c *accountCmd) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() == 0 {
		return usage(fmt.Errorf("no log files given"))
	}
	if c.every < 0 || c.silent < 0 {
		return usage(fmt.Errorf("-every and -silent must not be negative"))
	}
	var book account.Book
	for _, path := range fs.Args() {
		if err := readLog(&book, path); err != nil {
			return fail(err)
		}
	}
	series := book.Series(c.every, c.silent)
	if len(series) == 0 {
		return fail(fmt.Errorf("no \"budget held\" line found"))
	}
	list := c.filter(series)
	if len(list) == 0 {
		return fail(fmt.Errorf("no \"budget held\" line found for organisation %s", c.organisation))
	}
	if err := c.print(os.Stdout, list); err != nil {
		return fail(err)
	}
	return exitOK
}

func readLog(book *account.Book, path string) error {
	if path == "-" {
		return book.Read("standard input", os.Stdin)
	}
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	return book.Read(path, file)
}

// filter returns the sums of the chosen organisation; without one, all sums and their total.
func (c *accountCmd) filter(series []account.Sum) []account.Sum {
	if c.organisation == "" {
		return append(series, account.Total(series))
	}
	var list []account.Sum
	for _, s := range series {
		if s.Organisation == c.organisation {
			list = append(list, s)
		}
	}
	return list
}

// print writes the sums as a table or as JSON.
func (c *accountCmd) print(out io.Writer, list []account.Sum) error {
	if c.asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(list)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "AT\tORGANISATION\tLIMIT\tGRANTED\t")
	shown := shownParts(list)
	for _, p := range list[0].Parts() {
		if shown[p.Name] {
			fmt.Fprintf(w, "%s\t", p.Name)
		}
	}
	fmt.Fprintln(w)
	for _, s := range list {
		at := time.Time{}.Add(s.At)
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t", at.Format("15:04:05"), s.Organisation, s.Limit, s.Granted)
		for _, p := range s.Parts() {
			if shown[p.Name] {
				fmt.Fprintf(w, "%d\t", p.Tokens)
			}
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// shownParts returns the names of the parts to show: all, but for written off tokens where there are none.
func shownParts(list []account.Sum) map[string]bool {
	shown := map[string]bool{}
	for _, s := range list {
		for _, p := range s.Parts() {
			shown[p.Name] = shown[p.Name] || p.Tokens != 0 || p.Name != account.WrittenOffPart
		}
	}
	return shown
}
