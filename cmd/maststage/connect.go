package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/google/subcommands"

	"maststage.dev/api/maststage/v1/maststagev1connect"
	"maststage.dev/lib/failure"
)

// Environment variables used when flags are not set.
const (
	envHost = "MASTSTAGE_HOST"
	envKey  = "MASTSTAGE_KEY"
)

const callTimeout = 20 * time.Second

// remote holds the flags shared by commands that connect to a host.
type remote struct {
	host    string
	keyFile string
	output  string
}

func (r *remote) flags(fs *flag.FlagSet) {
	fs.StringVar(&r.host, "host", os.Getenv(envHost), "IP:port of any host; default: $"+envHost)
	fs.StringVar(&r.keyFile, "key-file", "", "file with the key; default: $"+envKey)
	fs.StringVar(&r.output, "o", "text", "output: text or json")
}

// key reads the key from the file or the environment.
func (r *remote) key() (string, error) {
	if r.keyFile == "" {
		if k := os.Getenv(envKey); k != "" {
			return k, nil
		}
		return "", fmt.Errorf("no key: set $%s or give -key-file", envKey)
	}
	data, err := os.ReadFile(r.keyFile)
	if err != nil {
		return "", fmt.Errorf("reading the key: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}

// operator returns a client that authenticates with the operator's key.
func (r *remote) operator() (maststagev1connect.OperatorClient, error) {
	key, err := r.check()
	if err != nil {
		return nil, err
	}
	add := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", "Bearer "+key)
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			return next(ctx, req)
		}
	})
	return maststagev1connect.NewOperatorClient(http.DefaultClient, "http://"+r.host, connect.WithInterceptors(add)), nil
}

// check validates the flags and returns the key.
func (r *remote) check() (string, error) {
	if r.host == "" {
		return "", fmt.Errorf("no host: set $%s or give -host IP:port", envHost)
	}
	if r.output != "text" && r.output != "json" {
		return "", fmt.Errorf("-o %q is neither text nor json", r.output)
	}
	return r.key()
}

// print writes v as JSON, or the table written by rows.
func (r *remote) print(v any, rows func(w *tabwriter.Writer)) subcommands.ExitStatus {
	if r.output == "json" {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		if err := e.Encode(v); err != nil {
			return fail(err)
		}
		return exitOK
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	rows(w)
	if err := w.Flush(); err != nil {
		return fail(err)
	}
	return exitOK
}

// fail prints err on one line and returns its exit status.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "maststage:", oneLine(err))
	f := failure.Of(err)
	switch {
	case f == nil:
		return exitFailed
	case f.Kind == "conflict":
		return exitConflict
	case f.Kind == "invalid":
		return exitUsage
	case f.Ran == "unknown":
		return exitUnknown
	}
	return exitFailed
}

func usage(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "maststage:", oneLine(err))
	return exitUsage
}

func oneLine(err error) string {
	var ce *connect.Error
	if errors.As(err, &ce) {
		if f := failure.Of(err); f != nil {
			return f.Kind + ": " + strings.ReplaceAll(ce.Message(), "\n", " ")
		}
	}
	return strings.ReplaceAll(err.Error(), "\n", " ")
}
