// Package dial opens connections that detect a lost network path, and distinguishes errors of opening a
// connection from errors on an open one.
//
// Usage:
//
//	sent := !dial.Failed(err) // no byte of a request was sent if the connection could not be opened
package dial

import (
	"errors"
	"net"
)

// Failed reports that a connection could not be opened, so that nothing was sent over it.
func Failed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
