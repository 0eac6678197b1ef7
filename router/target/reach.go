package target

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"maststage.dev/router/reach"
)

// dialDirect dials a target by a connection of this host's own and records the outcome.
func (r *Registry) dialDirect(ctx context.Context, t *Target) (net.Conn, error) {
	began := time.Now()
	nc, err := t.Pool.DialDirect(ctx)
	if errors.Is(err, context.Canceled) {
		return nc, err
	}
	outcome := dialOutcome(err)
	r.opts.OnDialed(outcome)
	t.path.RecordDial(outcome, began, time.Now())
	return nc, err
}

// dialOutcome classifies the result of a dial.
func dialOutcome(err error) reach.Outcome {
	var timeout net.Error
	switch {
	case err == nil:
		return reach.Connected
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return reach.Refused
	case errors.As(err, &timeout) && timeout.Timeout():
		return reach.TimedOut
	}
	return reach.Failed
}
