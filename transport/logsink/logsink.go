// Package logsink writes log lines without ever holding their writer up: lines
// wait in a queue of bounded length, and what finds it full is dropped and counted.
package logsink

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Sink is an io.Writer; each Write is one line.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	wait    sync.WaitGroup
	closed  atomic.Bool
}

// maxBatch is how many bytes are written at once.
const maxBatch = 32 << 10

// New returns a sink that writes to w and holds up to queue lines.
func New(w io.Writer, queue int) *Sink {
	s := &Sink{lines: make(chan []byte, queue)}
	s.wait.Go(func() { s.run(w) })
	return s
}

// Write queues a line, or drops it.
func (s *Sink) Write(line []byte) (int, error) {
	if s.closed.Load() {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) run(w io.Writer) {
	var batch []byte
	for line := range s.lines {
		if line == nil {
			return
		}
		batch = append(batch[:0], line...)
		for more := true; more && len(batch) < maxBatch; {
			select {
			case next := <-s.lines:
				if next == nil {
					_, _ = w.Write(batch)
					return
				}
				batch = append(batch, next...)
			default:
				more = false
			}
		}
		_, _ = w.Write(batch)
	}
}

// Close writes what is queued, for a while at most.
func (s *Sink) Close(within time.Duration) {
	if s.closed.Swap(true) {
		return
	}
	done := make(chan struct{})
	go func() {
		s.lines <- nil
		s.wait.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(within):
	}
}
