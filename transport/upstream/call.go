package upstream

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"os"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"quinceroad/coordination/outcome"
	"quinceroad/protocol/api"
)

// Call is one attempt to execute one stage.
type Call struct {
	Request     string
	Stage       string
	Attempt     int
	Operation   string
	Class       int // priority class, sent as api.HeaderPriority
	Input       []byte
	PriorTokens []string       // tokens received by earlier attempts; this attempt resumes after them
	Deadline    time.Time      // when the answer must be complete
	OnToken     func(t string) // called for each token; nil if the answer is not streamed
}

// Answer is a replica's answer to a call.
type Answer struct {
	Status      int
	Body        []byte
	Tokens      []string // of this attempt, without Call.PriorTokens
	Refused     bool     // the replica reports that it did not run the call
	Draining    bool     // the replica reports that it is draining
	Incarnation uint64   // of the replica

	endsConnection bool // unread bytes follow it
}

// Digest returns the xxhash64 of b in hex, by which inputs and outputs are
// compared.
func Digest(b []byte) string { return strconv.FormatUint(xxhash.Sum64(b), 16) }

// Do sends the call and reads the complete answer. On success the connection
// returns to its client, otherwise it is closed. The error of a missed deadline
// also matches os.ErrDeadlineExceeded.
func (cn *Conn) Do(d outcome.DispatchToken, c *Call) (*Answer, error) {
	a, err := cn.do(d, c)
	if err != nil {
		cn.Close()
		if !time.Now().Before(c.Deadline) { // fasthttp has its own timeout error
			err = errors.Join(err, os.ErrDeadlineExceeded)
		}
		return a, err
	}
	if a.endsConnection {
		cn.Close()
		return a, nil
	}
	cn.client.putIdle(cn)
	return a, nil
}

func (cn *Conn) do(d outcome.DispatchToken, c *Call) (*Answer, error) {
	digest := Digest(c.Input)
	if err := cn.net.SetDeadline(c.Deadline); err != nil {
		return nil, errors.Join(ErrIncomplete, err)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	c.fillRequest(req, cn.addr, digest)
	if err := cn.send(d, req); err != nil {
		return nil, err
	}
	var h fasthttp.ResponseHeader
	if _, err := cn.readHeader(&h); err != nil {
		return nil, errors.Join(ErrIncomplete, err)
	}
	if !c.matches(&h, digest) {
		return nil, ErrWrongRequest
	}
	a := &Answer{Status: h.StatusCode()}
	a.Draining = len(h.Peek(api.HeaderDraining)) > 0
	a.Refused = a.Status == fasthttp.StatusServiceUnavailable
	a.Incarnation, _ = strconv.ParseUint(string(h.Peek(api.HeaderIncarnation)), 10, 64)
	if h.ContentLength() == -1 {
		return a, cn.readStream(c, a)
	}
	if h.ContentLength() < 0 || h.ContentLength() > maxAnswerBytes {
		return nil, ErrIncomplete // without a length a truncated answer looks complete
	}
	a.Body = make([]byte, h.ContentLength())
	if _, err := io.ReadFull(cn.r, a.Body); err != nil {
		return nil, errors.Join(ErrIncomplete, err)
	}
	return a, nil
}

func (c *Call) fillRequest(req *fasthttp.Request, addr, digest string) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("/v1/execute")
	req.Header.SetHost(addr)
	req.Header.Set(api.HeaderRequest, c.Request)
	req.Header.Set(api.HeaderStage, c.Stage)
	req.Header.Set(api.HeaderAttempt, strconv.Itoa(c.Attempt))
	req.Header.Set(api.HeaderInputDigest, digest)
	req.Header.Set(api.HeaderOperation, c.Operation)
	req.Header.Set(api.HeaderPriority, strconv.Itoa(c.Class))
	req.Header.Set(api.HeaderDeadline, strconv.FormatInt(time.Until(c.Deadline).Milliseconds(), 10))
	if len(c.PriorTokens) > 0 {
		req.Header.Set(api.HeaderResumeOffset, strconv.Itoa(len(c.PriorTokens)))
	}
	req.SetBodyRaw(c.Input)
}

// matches reports whether an answer repeats the call's identity headers.
func (c *Call) matches(h *fasthttp.ResponseHeader, digest string) bool {
	return string(h.Peek(api.HeaderRequest)) == c.Request &&
		string(h.Peek(api.HeaderStage)) == c.Stage &&
		string(h.Peek(api.HeaderAttempt)) == strconv.Itoa(c.Attempt) &&
		string(h.Peek(api.HeaderInputDigest)) == digest
}

// StreamEnd is the last event of a replica's stream, by which the stream is
// checked for completeness.
type StreamEnd struct {
	Count  int    `json:"count"`  // number of tokens, including Call.PriorTokens
	Digest string `json:"digest"` // of all tokens concatenated
}

var (
	dataPrefix = []byte("data: ")
	endPrefix  = []byte("event: end")
)

// readStream reads server-sent tokens up to the end event and verifies them.
func (cn *Conn) readStream(c *Call, a *Answer) error {
	limited := &io.LimitedReader{R: httputil.NewChunkedReader(cn.r), N: maxAnswerBytes}
	body := newLineReader(limited)
	ended := false
	var end StreamEnd
	for {
		line, err := body.next()
		if limited.N == 0 {
			return ErrIncomplete // too long
		}
		if err == io.EOF && ended {
			break
		}
		if err != nil {
			return errors.Join(ErrIncomplete, err)
		}
		if err := parseLine(line, c, a, &ended, &end); err != nil {
			return err
		}
	}
	hasTrailers, err := cn.readChunksEnd()
	if err != nil {
		return errors.Join(ErrIncomplete, err)
	}
	a.endsConnection = hasTrailers
	return verifyEnd(c, a, end)
}

func parseLine(line []byte, c *Call, a *Answer, ended *bool, end *StreamEnd) error {
	if bytes.HasPrefix(line, endPrefix) {
		*ended = true
		return nil
	}
	data, ok := bytes.CutPrefix(line, dataPrefix)
	if !ok {
		return nil
	}
	if *ended {
		if err := json.Unmarshal(data, end); err != nil {
			return fmt.Errorf("%w: %w", ErrIncomplete, err)
		}
		return nil
	}
	var t api.Token
	if err := json.Unmarshal(data, &t); err != nil {
		return fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	a.Tokens = append(a.Tokens, t.Text)
	if c.OnToken != nil {
		c.OnToken(t.Text)
	}
	return nil
}

// verifyEnd compares the replica's count and digest with the received tokens,
// including those of earlier attempts.
func verifyEnd(c *Call, a *Answer, end StreamEnd) error {
	var all bytes.Buffer
	for _, t := range c.PriorTokens {
		all.WriteString(t)
	}
	for _, t := range a.Tokens {
		all.WriteString(t)
	}
	n := len(c.PriorTokens) + len(a.Tokens)
	if n != end.Count || Digest(all.Bytes()) != end.Digest {
		return fmt.Errorf("%w: received %d of %d tokens, or the digest differs", ErrIncomplete, n, end.Count)
	}
	a.Body = all.Bytes()
	return nil
}
