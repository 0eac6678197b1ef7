package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/google/subcommands"

	maststagev1 "maststage.dev/api/maststage/v1"
	"maststage.dev/api/maststage/v1/maststagev1connect"
	"maststage.dev/lib/declare"
)

const ackPollInterval = 200 * time.Millisecond

// applyCmd publishes declarations.
type applyCmd struct {
	remote
	base int64
	wait time.Duration
}

func (*applyCmd) Name() string     { return "apply" }
func (*applyCmd) Synopsis() string { return "publish declarations to the whole fleet" }
func (*applyCmd) Usage() string {
	return "maststage apply [flags] FILE\n  Publishes FILE if the version in force is still the one it is based on, and\n  waits until all live hosts have it. Exit status 3 if another operator published\n  first, 4 if it is in force but some hosts, which are listed, have not acknowledged\n  it in time, 6 if it is not known whether it was accepted.\n"
}

func (c *applyCmd) SetFlags(fs *flag.FlagSet) {
	c.flags(fs)
	fs.Int64Var(&c.base, "base", -1, "version that FILE is based on; -1: the one in force now")
	fs.DurationVar(&c.wait, "wait", 12*time.Second, "how long to wait for acknowledgements")
}

// applied is what apply prints as JSON.
type applied struct {
	Version uint64   `json:"version"`
	Missing []string `json:"missing"` // hosts that have not acknowledged it
}

func (c *applyCmd) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text, _, err := readDeclarations(fs)
	if err != nil {
		return usage(err)
	}
	client, err := c.operator()
	if err != nil {
		return usage(err)
	}
	base := uint64(c.base)
	if c.base < 0 {
		got, err := client.GetConfig(ctx, connect.NewRequest(&maststagev1.GetConfigRequest{}))
		if err != nil {
			return fail(err)
		}
		base = got.Msg.Version
	}
	res, err := client.Publish(ctx, connect.NewRequest(&maststagev1.PublishRequest{BaseVersion: base, Text: text}))
	if err != nil {
		status := fail(err)
		if status == exitConflict {
			c.printConflict(ctx, client, text)
		}
		return status
	}
	return c.awaitAcks(ctx, client, res.Msg.Version)
}

// printConflict shows an operator whose publish lost to another what is in force instead.
func (c *applyCmd) printConflict(ctx context.Context, client maststagev1connect.OperatorClient, text string) {
	got, err := client.GetConfig(ctx, connect.NewRequest(&maststagev1.GetConfigRequest{}))
	if err != nil {
		return
	}
	changes, err := declare.Diff(got.Msg.Text, text)
	if err != nil {
		return
	}
	w := tabwriter.NewWriter(os.Stderr, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "version %d is in force; your file would change these sections of it:\n", got.Msg.Version)
	printChanges(w, changes)
	_ = w.Flush()
}

// awaitAcks waits until all live hosts have acknowledged a version.
func (c *applyCmd) awaitAcks(ctx context.Context, client maststagev1connect.OperatorClient, version uint64) subcommands.ExitStatus {
	end := time.Now().Add(c.wait)
	for {
		missing, err := hostsBehind(ctx, client, version)
		if err == nil && (len(missing) == 0 || time.Now().After(end)) {
			return c.report(applied{version, missing})
		}
		if err != nil && time.Now().After(end) {
			return fail(fmt.Errorf("version %d is in force, but the hosts can't be listed: %w", version, err))
		}
		time.Sleep(ackPollInterval)
	}
}

func (c *applyCmd) report(a applied) subcommands.ExitStatus {
	status := c.print(a, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "version %d is in force\n", a.Version)
		if len(a.Missing) > 0 {
			fmt.Fprintf(w, "not acknowledged by: %s\n", strings.Join(a.Missing, ", "))
		}
	})
	if status == exitOK && len(a.Missing) > 0 {
		return exitPartial
	}
	return status
}

// hostsBehind returns the hosts that have not acknowledged a version.
func hostsBehind(ctx context.Context, client maststagev1connect.OperatorClient, version uint64) ([]string, error) {
	hosts, err := client.ListHosts(ctx, connect.NewRequest(&maststagev1.ListHostsRequest{}))
	if err != nil {
		return nil, err
	}
	missing := []string{}
	for _, h := range hosts.Msg.Hosts {
		if h.ConfigVersion < version {
			missing = append(missing, h.Name)
		}
	}
	return missing, nil
}
