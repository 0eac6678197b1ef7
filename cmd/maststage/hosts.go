package main

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"

	"connectrpc.com/connect"
	"github.com/google/subcommands"

	maststagev1 "maststage.dev/api/maststage/v1"
)

// hostsCmd lists the hosts.
type hostsCmd struct{ remote }

func (*hostsCmd) Name() string     { return "hosts" }
func (*hostsCmd) Synopsis() string { return "list the hosts as seen by one of them" }
func (*hostsCmd) Usage() string {
	return "maststage hosts [flags]\n  CONFIG and OFFSET are the configuration version and the log offset that the\n  host has applied; 0: no report of it was received.\n"
}
func (c *hostsCmd) SetFlags(fs *flag.FlagSet) { c.flags(fs) }

func (c *hostsCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, err := c.operator()
	if err != nil {
		return usage(err)
	}
	got, err := client.ListHosts(ctx, connect.NewRequest(&maststagev1.ListHostsRequest{}))
	if err != nil {
		return fail(err)
	}
	return c.print(got.Msg, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "HOST\tADDRESS\tDOMAIN\tSTATE\tCONFIG\tOFFSET\tINCARNATION")
		for _, h := range got.Msg.Hosts {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\n", h.Name, h.Address, h.Domain, h.State, h.ConfigVersion, h.Offset, h.Incarnation)
		}
	})
}
