// Package logsink writes log lines without ever blocking the caller: lines wait
// in a bounded queue, and lines that find it full are dropped and counted.
package logsink

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Sink is an io.Writer that takes one line per Write.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	writer  sync.WaitGroup
	closed  atomic.Bool
}

// maxBatch is the size in bytes from which no more lines are added to one write.
const maxBatch = 32 << 10

// New returns a sink that writes to w and queues up to queue lines.
func New(w io.Writer, queue int) *Sink {
	s := &Sink{lines: make(chan []byte, queue)}
	s.writer.Go(func() { s.run(w) })
	return s
}

// Write queues a line, or drops it if the queue is full or the sink is closed. It
// never returns an error.
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

// Close drops all further lines, and waits up to timeout until the queued ones are
// written.
func (s *Sink) Close(timeout time.Duration) {
	if s.closed.Swap(true) {
		return
	}
	done := make(chan struct{})
	go func() {
		s.lines <- nil
		s.writer.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}
