package main

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/google/subcommands"

	maststagev1 "maststage.dev/api/maststage/v1"
	"maststage.dev/api/maststage/v1/maststagev1connect"
	"maststage.dev/lib/failure"
)

// runCmd sends one request as a caller.
type runCmd struct {
	remote
	class   string
	id      string
	tokens  uint
	attempt uint
	timeout time.Duration
}

func (*runCmd) Name() string     { return "run" }
func (*runCmd) Synopsis() string { return "send one request as a caller" }
func (*runCmd) Usage() string {
	return "maststage run -class CLASS [flags] < INPUT\n  Sends standard input and streams the answer to standard output. Exit status 0\n  only for a whole answer, 1 if the request was not run, 6 if it may have been.\n"
}

func (c *runCmd) SetFlags(fs *flag.FlagSet) {
	c.flags(fs)
	fs.StringVar(&c.class, "class", "", "class of the request")
	fs.StringVar(&c.id, "id", "", "request id; generated if empty")
	fs.UintVar(&c.tokens, "max-tokens", 0, "maximum number of tokens; 0: as set by the policy")
	fs.UintVar(&c.attempt, "attempt", 1, "above 1 if an earlier attempt with this id may have run")
	fs.DurationVar(&c.timeout, "timeout", time.Minute, "time limit of the request")
}

func (c *runCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	key, err := c.check()
	if err == nil && c.class == "" {
		err = fmt.Errorf("give a -class")
	}
	if err != nil {
		return usage(err)
	}
	input, err := io.ReadAll(os.Stdin)
	if err != nil {
		return fail(fmt.Errorf("reading the input: %w", err))
	}
	if c.id == "" {
		c.id = rand.Text()
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req := connect.NewRequest(&maststagev1.RunRequest{
		RequestId: c.id, Class: c.class, Input: input, MaxTokens: uint32(c.tokens), Attempt: uint32(c.attempt),
	})
	req.Header().Set("Authorization", "Bearer "+key)
	s, err := maststagev1connect.NewCallerClient(http.DefaultClient, "http://"+c.host).Run(ctx, req)
	if err != nil {
		return fail(err)
	}
	defer s.Close()
	return c.printStream(s)
}

func (c *runCmd) printStream(s *connect.ServerStreamForClient[maststagev1.RunResponse]) subcommands.ExitStatus {
	for s.Receive() {
		m := s.Msg()
		if m.End != nil {
			fmt.Fprintf(os.Stderr, "\nwhole answer, request %s, %d chunks, %d tokens billed\n", c.id, m.End.Chunks, m.End.BilledTokens)
			return exitOK
		}
		if _, err := os.Stdout.Write(m.Data); err != nil {
			return fail(err)
		}
	}
	err := s.Err()
	if err == nil {
		err = fmt.Errorf("request %s: the answer is incomplete", c.id)
	}
	status := fail(err)
	if f := failure.Of(err); f != nil {
		fmt.Fprintf(os.Stderr, "request %s, run: %s, retry after %d ms\n", c.id, f.Ran, f.RetryAfterMs)
	}
	return status
}
