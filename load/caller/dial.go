package caller

import (
	"errors"
	"net"
)

// dialFailed says whether nothing was sent at all.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
