// Package peek looks at a connection without reading from it.
package peek

import (
	"net"
	"syscall"
)

// State is what a look at a connection shows.
type State int

// The states.
const (
	Idle     State = iota // open, nothing to read
	Readable              // something to read
	Closed                // closed by the other side, or broken
)

// Look returns the state of a connection; one that can't be looked at counts
// as having bytes, which nobody acts upon.
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
