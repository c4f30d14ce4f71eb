package upstream

import (
	"errors"
	"io"
	"net/http/httputil"
	"time"

	"github.com/valyala/fasthttp"

	"quinceroad/coordination/outcome"
)

// The lengths of bodies that the parser tells by a number below 0.
const (
	lengthChunked = -1 // ends with its last chunk
	lengthUntold  = -2 // ends with the connection
)

// writeAside is the size from which a body is written beside the reading: an
// upstream may answer before it has read it all.
const writeAside = 4 << 10

// maxCrossed is how many answers to others' requests are passed over on one connection.
const maxCrossed = 2

// Exchange is one request on a connection and its answer, head first.
type Exchange struct {
	Header fasthttp.ResponseHeader

	conn     *Conn
	noBody   bool
	written  chan error // nil once the request is known to be written
	body     io.Reader
	chunked  bool
	whole    bool
	released bool
}

// Begin writes a request; from here on it may run.
func (cn *Conn) Begin(d outcome.DispatchToken, req *fasthttp.Request) (*Exchange, error) {
	x := &Exchange{conn: cn, noBody: req.Header.IsHead()}
	if len(req.Body()) < writeAside {
		return x, cn.send(d, req)
	}
	if !d.Valid() {
		return x, ErrNotDispatched
	}
	x.written = make(chan error, 1)
	go func() { x.written <- cn.send(d, req) }()
	return x, nil
}

// SetDeadline bounds what is read and written from now on.
func (cn *Conn) SetDeadline(t time.Time) error { return cn.net.SetDeadline(t) }

// Kept reports whether the connection has carried a request before.
func (cn *Conn) IsReused() bool { return cn.used != 0 }

// ReadHead reads the answer's head. Answers that own says are another
// request's are passed over: they were late.
func (x *Exchange) ReadHead(own func(*fasthttp.ResponseHeader) bool) error {
	for range maxCrossed + 1 {
		if err := x.readOneHead(); err != nil {
			return err
		}
		if own(&x.Header) {
			return nil
		}
		if _, err := io.Copy(io.Discard, x); err != nil {
			return errors.Join(ErrWrongRequest, err)
		}
		if !x.whole || x.Header.ContentLength() == lengthUntold {
			return ErrWrongRequest
		}
	}
	return ErrWrongRequest
}

func (x *Exchange) readOneHead() error {
	x.whole, x.chunked, x.body = false, false, nil
	for {
		if err := x.Header.Read(x.conn.r); err != nil {
			return errors.Join(ErrIncomplete, err)
		}
		if x.Header.StatusCode() >= fasthttp.StatusOK {
			break
		}
	}
	length := x.Header.ContentLength()
	switch {
	case x.noBody || x.Header.StatusCode() == fasthttp.StatusNoContent || x.Header.StatusCode() == fasthttp.StatusNotModified || length == 0:
		x.whole = true
	case length == lengthChunked:
		x.chunked = true
		x.body = httputil.NewChunkedReader(x.conn.r)
	case length == lengthUntold:
		x.body = x.conn.r
	default:
		x.body = &io.LimitedReader{R: x.conn.r, N: int64(length)}
	}
	return nil
}

// Read reads the answer's body; io.EOF says that it is whole.
func (x *Exchange) Read(b []byte) (int, error) {
	if x.whole {
		return 0, io.EOF
	}
	n, err := x.body.Read(b)
	if !errors.Is(err, io.EOF) {
		if err != nil {
			err = errors.Join(ErrIncomplete, err)
		}
		return n, err
	}
	if limited, ok := x.body.(*io.LimitedReader); ok && limited.N > 0 {
		return n, errors.Join(ErrIncomplete, io.ErrUnexpectedEOF)
	}
	if x.chunked {
		if _, err := x.conn.r.Discard(len("\r\n")); err != nil { // after the last chunk
			return n, errors.Join(ErrIncomplete, err)
		}
	}
	x.whole = true
	return n, io.EOF
}

// Whole reports whether the whole body was read.
func (x *Exchange) IsComplete() bool { return x.whole }

// Release ends the exchange: its connection is kept for idle when the answer
// is whole, the request was written whole, and nobody minds, else closed.
func (x *Exchange) Release(idle time.Duration) {
	if x.released {
		return
	}
	x.released = true
	if x.keeps(idle) {
		x.conn.keep(idle)
		return
	}
	x.conn.Close()
}

func (x *Exchange) keeps(idle time.Duration) bool {
	if !x.whole || idle <= 0 || x.Header.ConnectionClose() || x.Header.ContentLength() == lengthUntold {
		return false
	}
	if x.written != nil {
		select {
		case err := <-x.written:
			if err != nil {
				return false
			}
		default:
			return false
		}
	}
	return x.conn.r.Buffered() == 0
}

// keep gives the connection back to its client for so long.
func (cn *Conn) keep(idle time.Duration) {
	_ = cn.net.SetDeadline(time.Time{})
	cn.until = cn.client.clock.Now() + idle
	cn.client.give(cn)
}
