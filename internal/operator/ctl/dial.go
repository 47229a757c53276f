package ctl

import (
	"net"

	"github.com/pkg/errors"
)

// neverSent tells whether a call certainly had no effect: no connection was
// made for it.
func neverSent(err error) bool {
	var call *callError
	var op *net.OpError
	return errors.As(err, &call) && errors.As(call.cause, &op) && op.Op == "dial"
}
