package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"quinceroad/protocol/api"
	"quinceroad/transport/endlesstest"
	"quinceroad/transport/peek"
)

const ownID = "X-Own: 1\r\n" // marks the answer to the request

// ask sends a request over a connection and reads the head of its answer.
func ask(t *testing.T, c net.Conn) (*Exchange, error) {
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
		conn *endlesstest.Conn
		most int // bytes that are read at most
	}{
		"no line end":                {endlesstest.New("", endlesstest.Text), maxHeadBytes},
		"empty lines":                {endlesstest.New("", "\r\n"), maxHeadBytes},
		"status line":                {endlesstest.New("HTTP/1.1 200 ", endlesstest.Text), maxHeadBytes},
		"header line":                {endlesstest.New("HTTP/1.1 200 OK\r\nA: ", endlesstest.Text), maxHeadBytes},
		"header lines":               {endlesstest.New("HTTP/1.1 200 OK\r\n", "A: b\r\n"), maxHeadBytes},
		"interim answers":            {endlesstest.New("", "HTTP/1.1 100 Continue\r\n\r\n"), maxHeadBytes * (maxInterimAnswers + 1)},
		"long interim answers":       {endlesstest.New("", "HTTP/1.1 103 Early Hints\r\nA: "+strings.Repeat("x", 4000)+"\r\n\r\n"), maxHeadBytes * (maxInterimAnswers + 1)},
		"answers to others":          {endlesstest.New("", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"), endlesstest.ReadAhead},
		"an answer without a length": {endlesstest.New("HTTP/1.1 200 OK\r\n\r\n", endlesstest.Text), endlesstest.ReadAhead},
		"an answer of great length":  {endlesstest.New("HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", endlesstest.Text), maxSkippedBytes + endlesstest.ReadAhead},
		"an answer of great chunks":  {endlesstest.New("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffff\r\n", endlesstest.Text), maxSkippedBytes + endlesstest.ReadAhead},
		"an answer of small chunks":  {endlesstest.New("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"), 6*maxSkippedBytes + endlesstest.ReadAhead},
		"a chunk's length":           {endlesstest.New("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1", endlesstest.Text), endlesstest.ReadAhead},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x, err := ask(t, c.conn)
			is.True(err != nil)
			x.Release(time.Minute)
			t.Logf("%d bytes read", c.conn.BytesRead())
			is.True(c.conn.IsClosed())
			is.True(c.conn.BytesRead() <= c.most)
		})
	}
}

// BOUND: a body that is read as a whole is read up to its reader's limit, however it is framed, and
// what belongs to no body is read up to a limit of its own.
func TestBodyWithoutEndIsGivenUp(t *testing.T) {
	const limit = 100 << 10 // bytes of a body that the reader takes
	const chunked = "HTTP/1.1 200 OK\r\n" + ownID + "Transfer-Encoding: chunked\r\n\r\n"
	cases := map[string]*endlesstest.Conn{
		"a great length":   endlesstest.New("HTTP/1.1 200 OK\r\n"+ownID+"Content-Length: 1000000000000\r\n\r\n", endlesstest.Text),
		"no length":        endlesstest.New("HTTP/1.1 200 OK\r\n"+ownID+"\r\n", endlesstest.Text),
		"great chunks":     endlesstest.New(chunked+"fffffffffff\r\n", endlesstest.Text),
		"a chunk's length": endlesstest.New(chunked+"1", "0"),
		"chunk extensions": endlesstest.New(chunked, "1;"+strings.Repeat("x", 4000)+"\r\nx\r\n"),
		"a long extension": endlesstest.New(chunked+"1;", endlesstest.Text),
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x, err := ask(t, c)
			is.NoErr(err)
			_, err = io.ReadAll(io.LimitReader(x, limit))
			is.True(err != nil || !x.IsComplete())
			x.Release(time.Minute)
			t.Logf("%d bytes read", c.BytesRead())
			is.True(c.IsClosed())
			is.True(c.BytesRead() <= limit+endlesstest.ReadAhead)
		})
	}
}

// BOUND: what follows a whole answer is not read, and no request follows on its connection.
func TestBytesAfterAnAnswerEndItsConnection(t *testing.T) {
	const head, chunked = "HTTP/1.1 200 OK\r\n" + ownID, "HTTP/1.1 200 OK\r\n" + ownID + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	cases := map[string]*endlesstest.Conn{
		"after a length":  endlesstest.New(head+"Content-Length: 2\r\n\r\nok", endlesstest.Text),
		"after no body":   endlesstest.New("HTTP/1.1 204 No Content\r\n"+ownID+"\r\n", endlesstest.Text),
		"after chunks":    endlesstest.New(chunked+"\r\n", endlesstest.Text),
		"trailers":        endlesstest.New(chunked, "A: b\r\n"),
		"a long trailer":  endlesstest.New(chunked+"A: ", endlesstest.Text),
		"no line, no end": endlesstest.New(chunked, endlesstest.Text),
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x, err := ask(t, c)
			is.NoErr(err)
			_, err = io.ReadAll(x)
			is.NoErr(err)
			x.Release(time.Minute)
			is.True(c.IsClosed())
			is.True(c.BytesRead() <= endlesstest.ReadAhead)
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

// Guards against an answer of bytes that follow a stream of tokens: the same at quince-entry.
func TestTrailerOfTokensEndsItsConnection(t *testing.T) {
	c := &Call{Request: "r", Stage: "s", Attempt: 1, Deadline: time.Now().Add(time.Minute)}
	events := fmt.Sprintf("event: end\ndata: {\"count\":0,\"digest\":%q}\n", Digest(nil))
	head := tokensHead + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(events), events)
	for end, isReused := range map[string]bool{"\r\n": true, "A:": false} {
		t.Run(end, func(t *testing.T) {
			is := is.New(t)
			conn := &pausingConn{parts: []string{head, end}}
			client := New()
			_, err := client.wrap("replica", conn).Do(newDispatchToken(t), c)
			is.NoErr(err)
			is.Equal(conn.closed, !isReused)
			is.Equal(len(client.idle["replica"]) == 1, isReused)
		})
	}
}

// tokensHead is the beginning of the head of an answer to the call of these tests.
var tokensHead = "HTTP/1.1 200 OK\r\n" + api.HeaderRequest + ": r\r\n" + api.HeaderStage + ": s\r\n" + api.HeaderAttempt + ": 1\r\n" +
	api.HeaderInputDigest + ": " + Digest(nil) + "\r\n"

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
	_, err = io.WriteString(replicas[0], endlesstest.Text)
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
	chunked := tokensHead + "Transfer-Encoding: chunked\r\n\r\n"
	cases := map[string]*endlesstest.Conn{
		"a line":            endlesstest.New(chunked+greatChunk, endlesstest.Text),
		"a token's line":    endlesstest.New(chunked+greatChunk+"data: ", endlesstest.Text),
		"tokens":            endlesstest.New(chunked+greatChunk, "data: {\"text\":\""+endlesstest.Text+"\"}\n"),
		"lines for nothing": endlesstest.New(chunked+greatChunk, "\n"),
		"great length":      endlesstest.New(tokensHead+"Content-Length: 1000000000000\r\n\r\n", endlesstest.Text),
		"no length":         endlesstest.New(tokensHead+"\r\n", endlesstest.Text),
	}
	for name, conn := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := New().wrap("replica", conn).Do(newDispatchToken(t), c)
			is.True(errors.Is(err, ErrIncomplete))
			t.Logf("%d bytes read", conn.BytesRead())
			is.True(conn.IsClosed())
			is.True(conn.BytesRead() <= maxAnswerBytes+endlesstest.ReadAhead)
		})
	}
}

const greatChunk = "fffffffffff\r\n"
