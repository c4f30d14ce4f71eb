// Package replicacall makes the calls to replicas that forward no client's request. They carry no
// id, so it tells their answers from those to earlier calls on the same connection.
package replicacall

import (
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"quinceroad/coordination/outcome"
	"quinceroad/platform"
	"quinceroad/transport/upstream"
)

const (
	maxAnswerBytes    = 1 << 20 // of an answer's body
	maxSurplusAnswers = 2       // answers to earlier calls that are skipped for one call
	// surplusWait is the time in which an answer must follow one that does not answer its call:
	// a surplus answer comes where the next one is due.
	surplusWait = 100 * time.Millisecond
)

// ErrInvalid is the error of a successful answer that does not answer its call.
var ErrInvalid = errors.New("the answer is invalid")

// Call is a call to a replica.
type Call struct {
	Address         string
	ExpectedReplica string // name of the replica that must answer; "" for any at the address
	Method          string
	Path            string
	Body            []byte
	// Parse parses the body of a successful answer and returns what it hands out, or an error if
	// it does not answer this call. nil: the body is not read.
	Parse func(data []byte) (handed []upstream.Handed, err error)
	// OnSurplus is called for each answer that is skipped: why it does not answer this call, or
	// nil if it hands out what an earlier answer has.
	OnSurplus func(invalid error)
}

// Answer is a complete answer to a call. Release must be called.
type Answer struct {
	Header     *fasthttp.ResponseHeader
	exchange   *upstream.Exchange
	hasSurplus bool
}

// Release ends the exchange. Its connection may be used again for idle, unless it has carried a
// surplus answer.
func (a *Answer) Release(idle time.Duration) {
	if a.hasSurplus {
		idle = 0
	}
	a.exchange.Release(idle)
}

// Do sends a call over a connection and reads its answer. After an error the connection is
// closed.
func Do(cn *upstream.Conn, c *Call) (*Answer, error) {
	token, _ := outcome.NewRecord().Dispatch()
	x, err := cn.Begin(token, c.request())
	if err != nil {
		cn.Close()
		return nil, err
	}
	a := &Answer{Header: &x.Header, exchange: x}
	if err := a.read(cn, c); err != nil {
		x.Release(0)
		return nil, err
	}
	return a, nil
}

func (c *Call) request() *fasthttp.Request {
	req := &fasthttp.Request{} // not pooled: a long body may be written for longer than the call lasts
	req.Header.DisableNormalizing()
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetMethod(c.Method)
	req.SetRequestURI(c.Path)
	req.Header.SetHost(c.Address)
	if len(c.Body) > 0 {
		req.Header.SetContentType("application/json")
	}
	if c.ExpectedReplica != "" {
		platform.SetExpectedReplica(c.ExpectedReplica, req.Header.Set)
	}
	req.SetBodyRaw(c.Body)
	return req
}

// read reads the answer. A surplus answer to an earlier call on the connection may come before it
// and is skipped.
func (a *Answer) read(cn *upstream.Conn, c *Call) error {
	for range maxSurplusAnswers + 1 {
		data, err := a.readWhole()
		if err != nil {
			return err
		}
		if c.Parse == nil || a.Header.StatusCode() != fasthttp.StatusOK {
			return nil
		}
		handed, invalid := c.Parse(data)
		switch {
		case invalid != nil && !cn.IsReused():
			return errors.Join(ErrInvalid, invalid)
		case invalid != nil: // if it is the call's own, none follows
			_ = cn.SetDeadline(time.Now().Add(surplusWait))
		case !cn.RecordHanded(handed):
			return nil
		}
		a.hasSurplus = true
		c.OnSurplus(invalid)
	}
	return ErrInvalid
}

// readWhole reads a head and its body.
func (a *Answer) readWhole() ([]byte, error) {
	if err := a.exchange.ReadHead(func(*fasthttp.ResponseHeader) bool { return true }); err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(a.exchange, maxAnswerBytes))
	if err == nil && !a.exchange.IsComplete() {
		err = upstream.ErrIncomplete
	}
	return data, err
}
