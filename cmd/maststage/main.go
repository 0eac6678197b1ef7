// Maststage is the command-line tool for operators and testers.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

// Exit statuses, for scripts.
const (
	exitOK       = subcommands.ExitSuccess
	exitFailed   = subcommands.ExitFailure    // 1: the command failed
	exitUsage    = subcommands.ExitUsageError // 2: invalid flags or input
	exitConflict = subcommands.ExitStatus(3)  // another operator published first
	exitPartial  = subcommands.ExitStatus(4)  // in force, but not acknowledged by all hosts
	exitDiffers  = subcommands.ExitStatus(5)  // diff found differences
	exitUnknown  = subcommands.ExitStatus(6)  // the call may or may not have taken effect
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range []subcommands.Command{&checkCmd{}, &diffCmd{}, &applyCmd{}, &getCmd{}} {
		subcommands.Register(c, "declarations")
	}
	for _, c := range []subcommands.Command{&budgetsCmd{}, &hostsCmd{}, &drainCmd{}, &accountCmd{}} {
		subcommands.Register(c, "fleet")
	}
	for _, c := range []subcommands.Command{&runCmd{}, &hashCmd{}} {
		subcommands.Register(c, "callers")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
