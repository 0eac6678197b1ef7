package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"

	"maststage.dev/lib/declare"
)

// hashCmd prints the form in which a key is declared.
type hashCmd struct{}

func (*hashCmd) Name() string           { return "hash" }
func (*hashCmd) Synopsis() string       { return "hash a key for a declaration" }
func (*hashCmd) SetFlags(*flag.FlagSet) {}
func (*hashCmd) Usage() string {
	return "maststage hash < KEY\n  Reads one line and prints its value for key_sha256.\n"
}

func (*hashCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	key := strings.TrimRight(line, "\r\n")
	if key == "" {
		return usage(fmt.Errorf("no key on standard input: %w", err))
	}
	fmt.Println(declare.HashKey(key))
	return exitOK
}
