// Package eventstream splits a replica's answer into events, and holds those that a client has
// not read yet.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// ErrBroken is returned for a stream that ends midway.
var ErrBroken = errors.New("the stream broke off midway")

// Event is one event of a stream, including the blank line that ends it.
type Event struct {
	Bytes      []byte
	ID         string // "": it has none
	isReserved bool   // counted in Held
}

// Reader splits a stream into complete events.
type Reader struct{ r *bufio.Reader }

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReader(r)} }

// maxEventBytes is the maximum size of an event. An event is held until it is complete.
const maxEventBytes = 1 << 20

var idField = []byte("id:")

// Next returns the next complete event, io.EOF after the last one of a complete
// stream, and another error if the stream broke off.
func (e *Reader) Next() (Event, error) {
	var ev Event
	lineStart := 0
	for {
		part, err := e.r.ReadSlice('\n')
		ev.Bytes = append(ev.Bytes, part...)
		switch {
		case len(ev.Bytes) > maxEventBytes:
			return ev, ErrBroken
		case err == bufio.ErrBufferFull: // a long line
			continue
		case err == io.EOF && len(ev.Bytes) > 0:
			return ev, ErrBroken // incomplete event
		case err != nil:
			return ev, err
		}
		text := bytes.TrimRight(ev.Bytes[lineStart:], "\r\n")
		lineStart = len(ev.Bytes)
		if len(text) == 0 {
			return ev, nil
		}
		if id, ok := bytes.CutPrefix(text, idField); ok {
			ev.ID = string(bytes.TrimSpace(id))
		}
	}
}
