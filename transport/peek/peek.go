// Package peek reports whether a connection is idle, readable or closed without consuming
// bytes from it.
package peek

import (
	"net"
	"syscall"
)

// State is the state of a connection.
type State int

// States of a connection.
const (
	Idle     State = iota // open, nothing to read
	Readable              // something to read
	Closed                // closed by the peer, or broken
)

// Inspect returns the state of a connection. One whose type can't be inspected is
// reported as Readable, on which no caller acts.
func Inspect(c net.Conn) State {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Readable
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN:
			state = Idle
		case err == nil && n > 0:
			state = Readable
		}
		return true
	})
	if err != nil {
		return Closed
	}
	return state
}
