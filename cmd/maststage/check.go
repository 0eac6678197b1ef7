package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"maststage.dev/lib/declare"
)

// checkCmd validates declarations and policies without contacting a fleet.
type checkCmd struct{}

func (*checkCmd) Name() string           { return "check" }
func (*checkCmd) Synopsis() string       { return "validate declarations and policies offline" }
func (*checkCmd) SetFlags(*flag.FlagSet) {}
func (*checkCmd) Usage() string {
	return "maststage check FILE\n  Exit status 2 and one line with section, key and reason if FILE is not valid.\n"
}

func (*checkCmd) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	_, set, err := readDeclarations(fs)
	if err != nil {
		return usage(err)
	}
	fmt.Printf("%s: ok, %d organisations, %d budgets, %d pools, %d policies\n", fs.Arg(0),
		len(set.Organisations), len(set.Budgets), len(set.Pools), len(set.Policies))
	return exitOK
}

// readDeclarations reads and validates the file named by the arguments.
func readDeclarations(fs *flag.FlagSet) (string, *declare.Set, error) {
	if fs.NArg() != 1 {
		return "", nil, fmt.Errorf("expected one declarations file")
	}
	data, err := os.ReadFile(fs.Arg(0))
	if err != nil {
		return "", nil, err
	}
	set, err := declare.Parse(string(data))
	if err != nil {
		return "", nil, fmt.Errorf("%s: %w", fs.Arg(0), err)
	}
	return string(data), set, nil
}
