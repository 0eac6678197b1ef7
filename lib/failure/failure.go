// Package failure reads the Failure detail that hosts attach to errors.
package failure

import (
	"errors"

	"connectrpc.com/connect"

	maststagev1 "maststage.dev/api/maststage/v1"
)

// Of returns the detail of an error of a call, or nil if it has none: then the error
// does not come from a host.
func Of(err error) *maststagev1.Failure {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return nil
	}
	for _, d := range ce.Details() {
		v, derr := d.Value()
		if f, ok := v.(*maststagev1.Failure); derr == nil && ok {
			return f
		}
	}
	return nil
}
