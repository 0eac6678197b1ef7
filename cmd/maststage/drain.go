package main

import (
	"context"
	"flag"
	"fmt"

	"connectrpc.com/connect"
	"github.com/google/subcommands"

	maststagev1 "maststage.dev/api/maststage/v1"
)

// drainCmd starts a graceful shutdown of a host.
type drainCmd struct{ remote }

func (*drainCmd) Name() string     { return "drain" }
func (*drainCmd) Synopsis() string { return "shut down a host without aborting requests" }
func (*drainCmd) Usage() string {
	return "maststage drain [flags] HOST\n  Starts a graceful shutdown of the named host and returns; 'hosts' shows when it\n  is gone.\n"
}
func (c *drainCmd) SetFlags(fs *flag.FlagSet) { c.flags(fs) }

func (c *drainCmd) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() != 1 {
		return usage(fmt.Errorf("give one host's name"))
	}
	client, err := c.operator()
	if err != nil {
		return usage(err)
	}
	if _, err := client.Drain(ctx, connect.NewRequest(&maststagev1.DrainRequest{Host: fs.Arg(0)})); err != nil {
		return fail(err)
	}
	fmt.Printf("%s is stopping\n", fs.Arg(0))
	return exitOK
}
