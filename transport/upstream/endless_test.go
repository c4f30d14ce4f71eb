package upstream

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"quinceroad/protocol/api"
	"quinceroad/transport/peek"
)

// endOfPatience is how many bytes an endlessConn gives before it breaks off: far more than any
// bound on what is read.
const endOfPatience = 64 << 20

// readAhead is how many bytes more than an answer's own are read at most, as reads are buffered.
const readAhead = 64 << 10

// endlessConn is a connection to a replica that writes a beginning and then a block again and again,
// without end. It counts what is read.
type endlessConn struct {
	net.Conn
	beginning, block string
	at               int // bytes of the beginning, then of the block, that are read
	read             int // bytes
	closed           bool
}

func (c *endlessConn) Read(b []byte) (int, error) {
	if c.read > endOfPatience {
		return 0, errors.New("nobody closed the connection")
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	n := 0
	for n < len(b) {
		text := c.beginning
		if text == "" {
			text = c.block
		}
		k := copy(b[n:], text[c.at:])
		n, c.at = n+k, c.at+k
		if c.at == len(text) {
			c.at, c.beginning = 0, ""
		}
	}
	c.read += n
	return n, nil
}

func (c *endlessConn) Write(b []byte) (int, error) { return len(b), nil }

func (c *endlessConn) Close() error {
	c.closed = true
	return nil
}

func (c *endlessConn) SetDeadline(time.Time) error { return nil }

// longBlock is a block of text without a line end.
var longBlock = strings.Repeat("x", 32<<10)

const ownID = "X-Own: 1\r\n" // marks the answer to the request

// ask sends a request and reads the head of its answer.
func (c *endlessConn) ask(t *testing.T) (*Exchange, error) {
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("http://replica/")
	x, err := New().wrap("replica", c).Begin(newDispatchToken(t), req)
	if err != nil {
		t.Fatal(err)
	}
	return x, x.ReadHead(func(h *fasthttp.ResponseHeader) bool { return len(h.Peek("X-Own")) > 0 })
}

// BOUND: whatever comes without end where the head of an answer is due, little of it is read, the
// caller hears that there is no answer, and the connection is closed.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	cases := map[string]struct {
		conn endlessConn
		most int // bytes that are read at most
	}{
		"no line end":                {endlessConn{block: longBlock}, maxHeadBytes},
		"empty lines":                {endlessConn{block: "\r\n"}, maxHeadBytes},
		"status line":                {endlessConn{beginning: "HTTP/1.1 200 ", block: longBlock}, maxHeadBytes},
		"header line":                {endlessConn{beginning: "HTTP/1.1 200 OK\r\nA: ", block: longBlock}, maxHeadBytes},
		"header lines":               {endlessConn{beginning: "HTTP/1.1 200 OK\r\n", block: "A: b\r\n"}, maxHeadBytes},
		"interim answers":            {endlessConn{block: "HTTP/1.1 100 Continue\r\n\r\n"}, maxHeadBytes * (maxInterimAnswers + 1)},
		"long interim answers":       {endlessConn{block: "HTTP/1.1 103 Early Hints\r\nA: " + strings.Repeat("x", 4000) + "\r\n\r\n"}, maxHeadBytes * (maxInterimAnswers + 1)},
		"answers to others":          {endlessConn{block: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"}, readAhead},
		"an answer without a length": {endlessConn{beginning: "HTTP/1.1 200 OK\r\n\r\n", block: longBlock}, readAhead},
		"an answer of great length":  {endlessConn{beginning: "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", block: longBlock}, maxSkippedBytes + readAhead},
		"an answer of great chunks":  {endlessConn{beginning: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffff\r\n", block: longBlock}, maxSkippedBytes + readAhead},
		"an answer of small chunks":  {endlessConn{beginning: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", block: "1\r\nx\r\n"}, 6*maxSkippedBytes + readAhead},
		"a chunk's length":           {endlessConn{beginning: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1", block: longBlock}, readAhead},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x, err := c.conn.ask(t)
			is.True(err != nil)
			x.Release(time.Minute)
			t.Logf("%d bytes read", c.conn.read)
			is.True(c.conn.closed)
			is.True(c.conn.read <= c.most)
		})
	}
}

// BOUND: a body that is read as a whole is read up to its reader's limit, however it is framed, and
// what belongs to no body is read up to a limit of its own.
func TestBodyWithoutEndIsGivenUp(t *testing.T) {
	const limit = 100 << 10 // bytes of a body that the reader takes
	const chunked = "HTTP/1.1 200 OK\r\n" + ownID + "Transfer-Encoding: chunked\r\n\r\n"
	cases := map[string]endlessConn{
		"a great length":   {beginning: "HTTP/1.1 200 OK\r\n" + ownID + "Content-Length: 1000000000000\r\n\r\n", block: longBlock},
		"no length":        {beginning: "HTTP/1.1 200 OK\r\n" + ownID + "\r\n", block: longBlock},
		"great chunks":     {beginning: chunked + "fffffffffff\r\n", block: longBlock},
		"a chunk's length": {beginning: chunked + "1", block: "0"},
		"chunk extensions": {beginning: chunked, block: "1;" + strings.Repeat("x", 4000) + "\r\nx\r\n"},
		"a long extension": {beginning: chunked + "1;", block: longBlock},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x, err := c.ask(t)
			is.NoErr(err)
			_, err = io.ReadAll(io.LimitReader(x, limit))
			is.True(err != nil || !x.IsComplete())
			x.Release(time.Minute)
			t.Logf("%d bytes read", c.read)
			is.True(c.closed)
			is.True(c.read <= limit+readAhead)
		})
	}
}

// BOUND: what follows a whole answer is not read, and no request follows on its connection.
func TestBytesAfterAnAnswerEndItsConnection(t *testing.T) {
	const head, chunked = "HTTP/1.1 200 OK\r\n" + ownID, "HTTP/1.1 200 OK\r\n" + ownID + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	cases := map[string]endlessConn{
		"after a length":  {beginning: head + "Content-Length: 2\r\n\r\nok", block: longBlock},
		"after no body":   {beginning: "HTTP/1.1 204 No Content\r\n" + ownID + "\r\n", block: longBlock},
		"after chunks":    {beginning: chunked + "\r\n", block: longBlock},
		"trailers":        {beginning: chunked, block: "A: b\r\n"},
		"a long trailer":  {beginning: chunked + "A: ", block: longBlock},
		"no line, no end": {beginning: chunked, block: longBlock},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x, err := c.ask(t)
			is.NoErr(err)
			_, err = io.ReadAll(x)
			is.NoErr(err)
			x.Release(time.Minute)
			is.True(c.closed)
			is.True(c.read <= readAhead)
		})
	}
}

// pausingConn gives its parts one at a time, as they arrive.
type pausingConn struct {
	net.Conn
	parts  []string
	closed bool
}

func (c *pausingConn) Read(b []byte) (int, error) {
	if len(c.parts) == 0 {
		return 0, errors.New("read on after the answer")
	}
	n := copy(b, c.parts[0])
	if c.parts[0] = c.parts[0][n:]; c.parts[0] == "" {
		c.parts = c.parts[1:]
	}
	return n, nil
}

func (c *pausingConn) Write(b []byte) (int, error) { return len(b), nil }

func (c *pausingConn) Close() error {
	c.closed = true
	return nil
}

func (c *pausingConn) SetDeadline(time.Time) error { return nil }

// Guards against MIXED: the first two bytes of a trailer were taken for the line end after the last
// chunk, and the rest of the trailer came where the next answer was due.
func TestTrailerThatComesSlowlyEndsItsConnection(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	for end, isReused := range map[string]bool{"\r\n": true, "A:": false, "\rx": false} {
		t.Run(end, func(t *testing.T) {
			is := is.New(t)
			c := &pausingConn{parts: []string{head, end}}
			client := New()
			req := fasthttp.AcquireRequest()
			req.SetRequestURI("http://replica/")
			x, err := client.wrap("replica", c).Begin(newDispatchToken(t), req)
			is.NoErr(err)
			is.NoErr(x.ReadHead(func(*fasthttp.ResponseHeader) bool { return true }))
			body, err := io.ReadAll(x)
			is.NoErr(err)
			is.Equal(string(body), "ok")
			x.Release(time.Minute)
			is.Equal(c.closed, !isReused)
			is.Equal(len(client.idle["replica"]) == 1, isReused)
		})
	}
}

// BOUND: a replica that writes on after a whole answer, once its connection is idle, is cut off although
// no request follows on it.
func TestIdleConnectionOnWhichAReplicaWritesIsClosed(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	client := New()
	var idle, replicas []*net.TCPConn
	for range 2 {
		conn, err := client.Dial(ln.Addr().String(), time.Second)
		is.NoErr(err)
		conn.KeepIdle(time.Minute)
		idle = append(idle, conn.net.(*net.TCPConn))
		accepted, err := ln.Accept()
		is.NoErr(err)
		replicas = append(replicas, accepted.(*net.TCPConn))
		defer accepted.Close()
	}
	_, err = io.WriteString(replicas[0], longBlock)
	is.NoErr(err)
	for end := time.Now().Add(10 * time.Second); peek.Inspect(idle[0]) == peek.Idle && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	client.CloseIdleExcept(func(string) bool { return true })
	is.Equal(len(client.idle[ln.Addr().String()]), 1) // the silent one
	is.Equal(peek.Inspect(idle[0]), peek.Closed)
	is.Equal(peek.Inspect(idle[1]), peek.Idle)
}

// BOUND: a stream of tokens whose lines, or whose line, have no end is given up. A line is held until it
// is complete, and tokens until the stream is checked.
func TestTokensWithoutEndAreGivenUp(t *testing.T) {
	c := &Call{Request: "r", Stage: "s", Attempt: 1, Deadline: time.Now().Add(time.Minute)}
	head := "HTTP/1.1 200 OK\r\n" + api.HeaderRequest + ": r\r\n" + api.HeaderStage + ": s\r\n" + api.HeaderAttempt + ": 1\r\n" +
		api.HeaderInputDigest + ": " + Digest(nil) + "\r\n"
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	cases := map[string]*endlessConn{
		"a line":            {beginning: chunked + greatChunk, block: longBlock},
		"a token's line":    {beginning: chunked + greatChunk + "data: ", block: longBlock},
		"tokens":            {beginning: chunked + greatChunk, block: "data: {\"text\":\"" + longBlock + "\"}\n"},
		"lines for nothing": {beginning: chunked + greatChunk, block: "\n"},
		"great length":      {beginning: head + "Content-Length: 1000000000000\r\n\r\n", block: longBlock},
		"no length":         {beginning: head + "\r\n", block: longBlock},
	}
	for name, conn := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := New().wrap("replica", conn).Do(newDispatchToken(t), c)
			is.True(errors.Is(err, ErrIncomplete))
			t.Logf("%d bytes read", conn.read)
			is.True(conn.closed)
			is.True(conn.read <= maxAnswerBytes+readAhead)
		})
	}
}

const greatChunk = "fffffffffff\r\n"
