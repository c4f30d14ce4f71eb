// Package relay carries a connection to a replica over a stream between two instances: the
// requesting instance holds a Conn, the relaying one runs Serve between the stream and its own
// connection to the replica.
//
// Bytes to the replica are sent as they are; closing the stream closes the connection. Bytes
// from the replica come in blocks, each with its length in four bytes (big endian), and a
// block of length 0 states that the replica closed its connection in order. A stream that
// ends without it was broken off, so that an answer that ends with its connection does not
// look complete when it is not.
package relay

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	lengthBytes = 4
	// blockBytes is the size of the largest block with its length. A relaying instance
	// holds one, and what the stream's window allows, for each connection.
	blockBytes = 16 << 10
	// writeErrorDelay is the time in which a write to a replica hears that the connection was
	// reset, after its reader has seen the end.
	writeErrorDelay = 10 * time.Millisecond
)

// ErrBroken is returned by a Conn whose stream ended before the replica had closed its
// connection, and for an invalid block. It never matches io.EOF, which states an orderly end.
var ErrBroken = errors.New("relay: the connection broke off")

// Conn is the requesting end of a relayed connection.
type Conn struct {
	net.Conn // the stream
	r        *bufio.Reader
	left     int  // bytes of the current block that are not read yet
	hasEnded bool // the replica has closed its connection
	isClosed atomic.Bool
}

// NewConn returns the requesting end on a stream whose relaying end is served by Serve.
func NewConn(stream net.Conn) *Conn { return &Conn{Conn: stream, r: bufio.NewReader(stream)} }

// Read implements net.Conn. It returns io.EOF only after the replica has closed its
// connection in order.
func (c *Conn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	if err := c.nextBlock(); err != nil {
		return 0, err
	}
	n, err := c.r.Read(b[:min(len(b), c.left)])
	c.left -= n
	if n > 0 {
		return n, nil
	}
	return 0, c.readError(err)
}

// nextBlock reads the length of the next block once the current one is read. A deadline
// that passes meanwhile loses no byte.
func (c *Conn) nextBlock() error {
	if c.left > 0 {
		return nil
	}
	if c.hasEnded {
		return io.EOF
	}
	head, err := c.r.Peek(lengthBytes)
	if err != nil {
		return c.readError(err)
	}
	length := binary.BigEndian.Uint32(head)
	if length > blockBytes {
		return ErrBroken
	}
	_, _ = c.r.Discard(lengthBytes)
	c.left = int(length)
	if length == 0 {
		c.hasEnded = true
		return io.EOF
	}
	return nil
}

// readError returns the error of a Read for one of the stream.
func (c *Conn) readError(err error) error {
	if c.isClosed.Load() {
		return net.ErrClosed
	}
	return c.streamError(err)
}

// streamError returns the error for one of the stream. The stream's own end is none of the
// replica's.
func (c *Conn) streamError(err error) error {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return os.ErrDeadlineExceeded
	case errors.Is(err, io.EOF):
		return errors.Join(ErrBroken, io.ErrUnexpectedEOF)
	}
	return errors.Join(ErrBroken, err)
}

// Close implements net.Conn. It ends a Read that waits, which the stream alone does not.
func (c *Conn) Close() error {
	c.isClosed.Store(true)
	err := c.Conn.Close()
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	return err
}

// maxDiscarded bounds the bytes that are read while the relaying end is waited for: as many as
// may have been under way. An end that sends more is not silent.
const maxDiscarded = 256 << 10

// AwaitEnd waits until the relaying end of a closed connection has let go of the replica, for
// at most d, and reports whether that end was silent for so long. Of a connection that is not
// closed it returns at once.
func (c *Conn) AwaitEnd(d time.Duration) (isSilent bool) {
	if !c.isClosed.Load() || c.Conn.SetReadDeadline(time.Now().Add(d)) != nil {
		return false
	}
	// Its close of the stream follows that of its connection.
	_, err := io.Copy(io.Discard, io.LimitReader(c.Conn, maxDiscarded))
	return errors.Is(c.streamError(err), os.ErrDeadlineExceeded)
}

// IsIdle reports whether the connection is open and has nothing to read.
func (c *Conn) IsIdle() bool {
	if c.left > 0 || c.hasEnded || c.isClosed.Load() || c.Conn.SetReadDeadline(time.Unix(1, 0)) != nil {
		return false
	}
	_, err := c.r.Peek(1)
	isIdle := errors.Is(c.readError(err), os.ErrDeadlineExceeded)
	return c.Conn.SetReadDeadline(time.Time{}) == nil && isIdle
}

// Serve copies between a stream and a connection to a replica until one of them ends, and
// closes both. It returns the bytes sent to the replica and received from it.
func Serve(stream, replica net.Conn) (sent, received int64) {
	requests := &requestWriter{to: replica}
	var requester sync.WaitGroup
	requester.Go(func() {
		sent, _ = io.Copy(requests, stream) // ends when either side closes
		_ = replica.Close()
		_ = stream.Close()
	})
	received = copyBlocks(stream, replica, requests)
	_ = replica.Close()
	_ = stream.Close()
	_ = stream.SetReadDeadline(time.Unix(1, 0))
	requester.Wait()
	return sent, received
}

// requestWriter writes to a replica and remembers whether that has failed.
type requestWriter struct {
	to io.Writer

	mu      sync.Mutex // held while it writes
	lastErr atomic.Pointer[error]
}

// Write implements io.Writer.
func (w *requestWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.to.Write(b)
	if err != nil {
		w.lastErr.Store(&err)
	}
	return n, err
}

// hasFailed reports whether a write has failed. A reset that a write hears of leaves the reader
// what looks like an orderly end; one that still writes hears of it within writeErrorDelay.
func (w *requestWriter) hasFailed() bool {
	for end := time.Now().Add(writeErrorDelay); ; time.Sleep(writeErrorDelay / 10) {
		if w.lastErr.Load() != nil {
			return true
		}
		if w.mu.TryLock() {
			w.mu.Unlock()
			return w.lastErr.Load() != nil
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// copyBlocks copies what the replica sends, and its orderly close, to the stream. The close is
// orderly only if no write to the replica has failed.
func copyBlocks(stream io.Writer, replica io.Reader, requests *requestWriter) (received int64) {
	block := make([]byte, blockBytes)
	for {
		n, err := replica.Read(block[lengthBytes:])
		if n > 0 {
			received += int64(n)
			binary.BigEndian.PutUint32(block, uint32(n))
			if _, err := stream.Write(block[:lengthBytes+n]); err != nil {
				return received
			}
		}
		if errors.Is(err, io.EOF) && !requests.hasFailed() {
			_, _ = stream.Write(make([]byte, lengthBytes))
		}
		if err != nil {
			return received
		}
	}
}
