package ctl

import (
	"net"

	"github.com/pkg/errors"
)

// isDialError reports whether a request failed before its connection was
// established. Such a request certainly had no effect.
func isDialError(err error) bool {
	var transport *transportError
	var op *net.OpError
	return errors.As(err, &transport) && errors.As(transport.cause, &op) && op.Op == "dial"
}
