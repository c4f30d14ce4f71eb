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
type Reader struct {
	r        *bufio.Reader
	held     *Held
	reserved int // bytes of its largest event that are counted in held
}

// NewReader returns a reader of the events in r, whose bytes count in held if an event is large.
// Close must be called.
func NewReader(r io.Reader, held *Held) *Reader { return &Reader{r: bufio.NewReader(r), held: held} }

// Close ends the counting of what the reader holds.
func (e *Reader) Close() {
	e.held.Release(e.reserved)
	e.reserved = 0
}

const (
	// maxEventBytes is the maximum size of an event. An event is held until it is complete.
	maxEventBytes = 1 << 20
	// FreeBytes is how much of an answer may be held without being counted in Held. Events in use
	// are far smaller.
	FreeBytes = 64 << 10
)

// hasRoomFor reports whether an event may be as large as size. Streams together hold no more than the
// process can bear, whatever each of them may.
func (e *Reader) hasRoomFor(size int) bool {
	if size > maxEventBytes {
		return false
	}
	if size <= max(FreeBytes, e.reserved) {
		return true
	}
	if !e.held.Reserve(size - e.reserved) {
		return false
	}
	e.reserved = size
	return true
}

var idField = []byte("id:")

// Next returns the next complete event, io.EOF after the last one of a complete
// stream, and another error if the stream broke off.
func (e *Reader) Next() (Event, error) {
	var ev Event
	lineStart := 0
	for {
		part, err := e.r.ReadSlice('\n')
		if !e.hasRoomFor(len(ev.Bytes) + len(part)) {
			return Event{}, ErrBroken
		}
		ev.Bytes = append(ev.Bytes, part...)
		switch {
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
