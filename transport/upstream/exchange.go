package upstream

import (
	"errors"
	"io"
	"net/http/httputil"
	"time"

	"github.com/valyala/fasthttp"

	"quinceroad/coordination/outcome"
	"quinceroad/transport/answerhead"
)

// Body lengths below 0 by which the header parser reports a body without
// Content-Length.
const (
	lengthChunked = -1 // chunked; ends with the last chunk
	lengthUnknown = -2 // ends when the connection is closed
)

// asyncWriteMin is the size in bytes from which a request is written concurrently
// with reading the answer, since an upstream may answer before it has read the
// whole body.
const asyncWriteMin = 4 << 10

// maxWrongAnswers is how many answers to other requests are skipped on one
// connection.
const maxWrongAnswers = 2

// maxSkippedBytes is how many bytes of bodies of answers to other requests are skipped on one
// connection, so that a late answer does not cost it. A longer answer is given up with it.
const maxSkippedBytes = 1 << 20

// Errors of an answer that comes after more than is skipped.
var (
	errInterimAnswers  = errors.New("upstream: too many interim answers")
	errLongWrongAnswer = errors.New("upstream: the answer to another request is too long")
)

// maxInterimAnswers is how many interim answers (1xx) may come before an answer.
const maxInterimAnswers = 8

// writeErrorDelay is the time in which a write of a request hears that its connection was reset,
// after the reader of the answer has seen the end.
const writeErrorDelay = 10 * time.Millisecond

// Exchange is one request on a connection and its answer; the answer's header is
// read before its body.
type Exchange struct {
	Header fasthttp.ResponseHeader

	conn        *Conn
	noBody      bool
	written     chan struct{} // closed when a concurrent write of the request has ended; nil if that was before Begin returned
	writeErr    error         // how it ended; set before written is closed
	body        io.Reader
	chunked     bool
	unframed    bool // the body ends with the connection
	hasTrailers bool // unread ones follow the body
	complete    bool
	released    bool
}

// Begin writes a request; from then on it may have been executed.
func (cn *Conn) Begin(d outcome.DispatchToken, req *fasthttp.Request) (*Exchange, error) {
	x := &Exchange{conn: cn, noBody: req.Header.IsHead()}
	if len(req.Body()) < asyncWriteMin {
		return x, cn.send(d, req)
	}
	if !d.Valid() {
		return x, ErrNotDispatched
	}
	x.written = make(chan struct{})
	go func() {
		defer close(x.written)
		x.writeErr = cn.send(d, req)
	}()
	return x, nil
}

// SetDeadline sets the deadline of all further reads and writes.
func (cn *Conn) SetDeadline(t time.Time) error { return cn.net.SetDeadline(t) }

// IsReused reports whether the connection has carried a request before.
func (cn *Conn) IsReused() bool { return cn.lastUsed != 0 }

// ReadHead reads the answer's header. It skips late answers to other requests,
// for which isOwn returns false.
func (x *Exchange) ReadHead(isOwn func(*fasthttp.ResponseHeader) bool) error {
	left := int64(maxSkippedBytes)
	for range maxWrongAnswers + 1 {
		if err := x.readOneHead(); err != nil {
			return err
		}
		if isOwn(&x.Header) {
			return nil
		}
		if x.unframed { // no answer follows it
			return ErrWrongRequest
		}
		n, err := io.Copy(io.Discard, io.LimitReader(x, left))
		if err != nil {
			return errors.Join(ErrWrongRequest, err)
		}
		if !x.complete || x.hasTrailers {
			return errors.Join(ErrWrongRequest, errLongWrongAnswer)
		}
		left -= n
	}
	return ErrWrongRequest
}

func (x *Exchange) readOneHead() error {
	x.complete, x.chunked, x.unframed, x.hasTrailers, x.body = false, false, false, false, nil
	if err := x.readFinalHeader(); err != nil {
		return err
	}
	length := x.Header.ContentLength()
	switch {
	case x.noBody || x.Header.StatusCode() == fasthttp.StatusNoContent || x.Header.StatusCode() == fasthttp.StatusNotModified || length == 0:
		x.complete = true
	case length == lengthChunked:
		x.chunked = true
		x.body = httputil.NewChunkedReader(x.conn.r)
	case length == lengthUnknown:
		x.unframed = true
		x.body = x.conn.r
	default:
		x.body = &io.LimitedReader{R: x.conn.r, N: int64(length)}
	}
	return nil
}

// readFinalHeader reads a header after the interim answers before it.
func (x *Exchange) readFinalHeader() error {
	for range maxInterimAnswers + 1 {
		head, err := x.conn.readHeader(&x.Header)
		if err != nil {
			return errors.Join(ErrIncomplete, err)
		}
		if !head.IsInterim() {
			return nil
		}
	}
	return errors.Join(ErrIncomplete, errInterimAnswers)
}

// readHeader reads a header. Its bytes are judged before they are parsed, as the parser is lenient. If
// they are not those of an answer, the error is an answerhead.Error.
func (cn *Conn) readHeader(h *fasthttp.ResponseHeader) (answerhead.Head, error) {
	head, err := answerhead.Await(cn.r)
	if err != nil {
		return answerhead.Head{}, err
	}
	return head, h.Read(cn.r)
}

// Read reads the answer's body; it returns io.EOF once the body is complete. Only io.EOF itself
// is an end: an error that merely wraps it tells of a connection that broke.
func (x *Exchange) Read(b []byte) (int, error) {
	if x.complete {
		return 0, io.EOF
	}
	n, err := x.body.Read(b)
	if err != io.EOF {
		if err != nil {
			err = errors.Join(ErrIncomplete, err)
		}
		return n, err
	}
	if limited, ok := x.body.(*io.LimitedReader); ok && limited.N > 0 {
		return n, errors.Join(ErrIncomplete, io.ErrUnexpectedEOF)
	}
	if x.chunked {
		if x.hasTrailers, err = x.conn.readChunksEnd(); err != nil {
			return n, errors.Join(ErrIncomplete, err)
		}
	}
	if x.unframed && x.hasWriteFailed() {
		return n, errors.Join(ErrIncomplete, x.writeErr)
	}
	x.complete = true
	return n, io.EOF
}

// readChunksEnd reads the line end after the last chunk. Trailers may come in its place: they belong to
// no body, have no bound and are not read, and no answer can follow them.
func (cn *Conn) readChunksEnd() (hasTrailers bool, err error) {
	var end [len("\r\n")]byte
	_, err = io.ReadFull(cn.r, end[:])
	return string(end[:]) != "\r\n", err
}

// IsFramed reports whether the head states where the body ends, by its length or by chunks. A
// body that is not framed ends with the connection, and looks the same if that breaks.
func (x *Exchange) IsFramed() bool { return !x.unframed }

// IsComplete reports whether the body was read to its end. Of one that is not framed, the end
// may be that of a broken connection.
func (x *Exchange) IsComplete() bool { return x.complete }

// Release ends the exchange. The connection is kept open for reuse for idle if
// request and answer are complete and neither the answer nor unread bytes forbid
// it; otherwise it is closed.
func (x *Exchange) Release(idle time.Duration) {
	if x.released {
		return
	}
	x.released = true
	if x.canReuse(idle) {
		x.conn.KeepIdle(idle)
		return
	}
	x.conn.Close()
}

func (x *Exchange) canReuse(idle time.Duration) bool {
	if !x.complete || x.hasTrailers || idle <= 0 || x.Header.ConnectionClose() || x.Header.ContentLength() == lengthUnknown {
		return false
	}
	if x.written != nil {
		select {
		case <-x.written:
			if x.writeErr != nil {
				return false
			}
		default:
			return false
		}
	}
	return x.conn.r.Buffered() == 0
}

// hasWriteFailed reports whether the write of the request has failed. A reset that a write hears
// of leaves the reader what looks like an orderly end; one that is still writing hears of it
// within writeErrorDelay.
func (x *Exchange) hasWriteFailed() bool {
	if x.written == nil {
		return false
	}
	timer := time.NewTimer(writeErrorDelay)
	defer timer.Stop()
	select {
	case <-x.written:
		return x.writeErr != nil
	case <-timer.C:
		return false
	}
}

// KeepIdle returns the connection to its client, which may reuse it for idle.
func (cn *Conn) KeepIdle(idle time.Duration) {
	_ = cn.net.SetDeadline(time.Time{})
	cn.idleUntil = cn.client.clock.Now() + idle
	cn.client.putIdle(cn)
}
