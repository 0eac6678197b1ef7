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

// budgetsCmd lists the budgets.
type budgetsCmd struct {
	remote
	organisation string
}

func (*budgetsCmd) Name() string     { return "budgets" }
func (*budgetsCmd) Synopsis() string { return "list budgets: granted, held, used, left" }
func (*budgetsCmd) Usage() string {
	return "maststage budgets [flags]\n  In tokens: granted = consumed + held + stranded; left = total - granted.\n"
}

func (c *budgetsCmd) SetFlags(fs *flag.FlagSet) {
	c.flags(fs)
	fs.StringVar(&c.organisation, "organisation", "", "show only budgets of this organisation")
}

func (c *budgetsCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, err := c.operator()
	if err != nil {
		return usage(err)
	}
	got, err := client.ListBudgets(ctx, connect.NewRequest(&maststagev1.ListBudgetsRequest{}))
	if err != nil {
		return fail(err)
	}
	list := []*maststagev1.Budget{}
	for _, b := range got.Msg.Budgets {
		if c.organisation == "" || b.Organisation == c.organisation {
			list = append(list, b)
		}
	}
	return c.print(list, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "ORGANISATION\tBUDGET\tTOTAL\tGRANTED\tHELD\tSTRANDED\tCONSUMED\tBILLED\tLEFT")
		for _, b := range list {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n",
				b.Organisation, b.Name, b.Total, b.Granted, b.Held, b.Stranded, b.Consumed, b.Billed, b.Left)
		}
	})
}
