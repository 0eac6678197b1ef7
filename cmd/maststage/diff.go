package main

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"

	"connectrpc.com/connect"
	"github.com/google/subcommands"

	maststagev1 "maststage.dev/api/maststage/v1"
	"maststage.dev/lib/declare"
)

// diffCmd compares a file with the declarations in force.
type diffCmd struct{ remote }

func (*diffCmd) Name() string     { return "diff" }
func (*diffCmd) Synopsis() string { return "compare declarations with those in force" }
func (*diffCmd) Usage() string {
	return "maststage diff [flags] FILE\n  Lists sections that applying FILE would add, change or remove.\n  Exit status 0 if there are none, 5 if there are.\n"
}
func (c *diffCmd) SetFlags(fs *flag.FlagSet) { c.flags(fs) }

// difference is what diff prints as JSON.
type difference struct {
	Version uint64           `json:"version"` // the version in force
	Changes []declare.Change `json:"changes"`
}

func (c *diffCmd) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text, _, err := readDeclarations(fs)
	if err != nil {
		return usage(err)
	}
	client, err := c.operator()
	if err != nil {
		return usage(err)
	}
	got, err := client.GetConfig(ctx, connect.NewRequest(&maststagev1.GetConfigRequest{}))
	if err != nil {
		return fail(err)
	}
	changes, err := declare.Diff(got.Msg.Text, text)
	if err != nil {
		return fail(err)
	}
	status := c.print(difference{got.Msg.Version, changes}, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "in force: version %d\n", got.Msg.Version)
		printChanges(w, changes)
	})
	if status == exitOK && len(changes) > 0 {
		return exitDiffers
	}
	return status
}

func printChanges(w *tabwriter.Writer, changes []declare.Change) {
	for _, ch := range changes {
		fmt.Fprintf(w, "%s\t[%s]\n", ch.Kind, ch.Section)
	}
}
