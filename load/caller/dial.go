package caller

import (
	"errors"
	"net"
)

// dialFailed reports whether the connection failed before anything was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
