// Package failure reads the detail that hosts attach to errors.
package failure

import (
	"errors"

	"connectrpc.com/connect"

	maststagev1 "maststage.dev/api/maststage/v1"
)

// Of finds the detail in an error of a call, nil if there is none: then the
// error is not a host's answer.
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
