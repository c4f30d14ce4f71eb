package origins

import (
	"context"
	"errors"
	"sync"
	"time"
)

var errNotInTime = errors.New("the store has not answered in time")

// freshReads shares reads of the store among callers, so that each of them gets the result of
// a read that began after it asked. At most one read is under way. No other lock is acquired
// under its own.
type freshReads[T any] struct {
	read func() (T, error)
	gap  func() time.Duration // shortest time between the starts of two reads
	now  func() time.Duration // since the process started

	mu      sync.Mutex
	running bool
	next    *sharedRead[T] // the read that has not begun
	ended   time.Duration  // of the gap after the start of the last read
}

// sharedRead is a read and, once done is closed, its result.
type sharedRead[T any] struct {
	done  chan struct{}
	value T
	err   error
}

// get returns the result of a read that begins after the call.
func (f *freshReads[T]) get(ctx context.Context) (T, error) {
	f.mu.Lock()
	if f.next == nil {
		f.next = &sharedRead[T]{done: make(chan struct{})}
	}
	r := f.next
	if !f.running {
		f.running = true
		go f.run()
	}
	f.mu.Unlock()
	select {
	case <-r.done:
		return r.value, r.err
	case <-ctx.Done():
		var none T
		return none, errNotInTime
	}
}

// run makes reads until nobody asks for one.
func (f *freshReads[T]) run() {
	for {
		f.mu.Lock()
		wait := f.ended - f.now()
		f.mu.Unlock()
		time.Sleep(wait)
		f.mu.Lock()
		r := f.next
		f.next = nil
		if r == nil {
			f.running = false
			f.mu.Unlock()
			return
		}
		f.ended = f.now() + f.gap()
		f.mu.Unlock()
		r.value, r.err = f.read()
		close(r.done)
	}
}
