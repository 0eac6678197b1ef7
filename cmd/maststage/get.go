package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"

	"connectrpc.com/connect"
	"github.com/google/subcommands"

	maststagev1 "maststage.dev/api/maststage/v1"
)

// getCmd prints the declarations in force.
type getCmd struct{ remote }

func (*getCmd) Name() string     { return "get" }
func (*getCmd) Synopsis() string { return "print the declarations in force" }
func (*getCmd) Usage() string {
	return "maststage get [flags]\n  Prints the declarations to standard output, and their version to standard error.\n"
}
func (c *getCmd) SetFlags(fs *flag.FlagSet) { c.flags(fs) }

// inForce is what get prints as JSON.
type inForce struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

func (c *getCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, err := c.operator()
	if err != nil {
		return usage(err)
	}
	got, err := client.GetConfig(ctx, connect.NewRequest(&maststagev1.GetConfigRequest{}))
	if err != nil {
		return fail(err)
	}
	if c.output != "json" {
		fmt.Fprintln(os.Stderr, "version", got.Msg.Version)
		fmt.Print(got.Msg.Text)
		return exitOK
	}
	return c.print(inForce{got.Msg.Version, got.Msg.Text}, func(*tabwriter.Writer) {})
}
