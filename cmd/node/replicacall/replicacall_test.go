package replicacall

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/coordination/pipeline"
	"quinceroad/platform"
	"quinceroad/transport/upstream"
)

// script is a replica that answers the calls on one connection with texts, one each.
type script []string

// start returns the replica's address.
func (s script) start(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.answer(conn)
		}
	}()
	return ln.Addr().String()
}

func (s script) answer(conn net.Conn) {
	r := bufio.NewReader(conn)
	for _, text := range s {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		_, _ = io.WriteString(conn, text)
	}
	_, _ = io.Copy(io.Discard, r)
}

// ok is a successful answer with a body.
func ok(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// results is the body of the answer to a call of items with these handles.
func results(handles ...string) string {
	var items []string
	for _, h := range handles {
		items = append(items, fmt.Sprintf(`{"handle":%q}`, h))
	}
	return `{"items":[` + strings.Join(items, ",") + `]}`
}

// callTime is the time that a call may take.
const callTime = 2 * time.Second

// caller makes calls of items, each of two items of its own request, over kept connections.
type caller struct {
	t       *testing.T
	address string
	client  *upstream.Client
	calls   int
	surplus int
	got     []pipeline.Result
}

func newCaller(t *testing.T, s script) *caller {
	return &caller{t: t, address: s.start(t), client: upstream.New()}
}

func (c *caller) call() error {
	cn, err := c.client.Connect(c.address)
	is.New(c.t).NoErr(err)
	_ = cn.SetDeadline(time.Now().Add(callTime))
	c.calls++
	request := c.calls
	answer, err := Do(cn, &Call{Address: c.address, Method: "POST", Path: "/run", Body: []byte("{}"), OnSurplus: func(error) { c.surplus++ },
		Parse: func(data []byte) (handed []upstream.Handed, err error) {
			c.got, err = platform.ParseBatchResponse(data, 2)
			for i, r := range c.got {
				handed = append(handed, upstream.Handed{Name: r.Handle, For: fmt.Sprint(request, "/", i)})
			}
			return handed, err
		}})
	if err == nil {
		answer.Release(time.Minute)
	}
	return err
}

// MIXED: an answer that hands out what an earlier one did is skipped, and the call gets its own;
// the connection is not used again.
func TestSurplusAnswersAreSkipped(t *testing.T) {
	first, second := ok(results("a", "b")), ok(results("c", "d"))
	for name, s := range map[string]script{
		"the last one":                {first, first + second},
		"the last one twice":          {first, first + first + second},
		"another document":            {first, ok(`{"free_mb":3}`) + second},
		"results of more items":       {first, ok(results("a", "b", "x")) + second},
		"an answer without a body":    {first, ok("") + second},
		"one that is no document":     {first, ok("}{") + second},
		"with one handle that is new": {first, ok(results("b", "x")) + second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCaller(t, s)
			is.NoErr(c.call())
			is.NoErr(c.call())
			is.Equal(c.got[0].Handle, "c")
			is.True(c.surplus > 0)
			is.NoErr(c.call()) // over a new connection
			is.Equal(c.got[0].Handle, "a")
		})
	}
}

// A replica that hands out the same names for the same items again, as for a repeated call, is heard.
func TestRepeatedItemsKeepTheirHandles(t *testing.T) {
	is := is.New(t)
	c := newCaller(t, script{ok(results("a", "b")), ok(results("a", "b"))})
	is.NoErr(c.call())
	c.calls-- // the same items
	is.NoErr(c.call())
	is.Equal(c.surplus, 0)
}

// Bad input: a clear error, in bounded time, and nothing is taken.
func TestAnswersThatAreNone(t *testing.T) {
	first := ok(results("a", "b"))
	for name, s := range map[string]script{
		"too large":                    {ok(strings.Repeat(" ", maxAnswerBytes+1))},
		"a count of items that is off": {ok(results("a"))},
		"no document":                  {ok("<html>")},
		"bytes that are no answer":     {"hello\r\n\r\n"},
		"a length that is no number":   {"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nab"},
		"a body that breaks off":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"},
		"surplus answers without end":  {first, first + first + first + first},
		"no answer of its own":         {first, first},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCaller(t, s)
			start := time.Now()
			err := c.call()
			if err == nil {
				err = c.call()
			}
			is.True(err != nil)
			is.True(time.Since(start) < 10*callTime)
		})
	}
}

// The body of a long answer that a replica hands out under a megabyte is read; an empty handle and
// one of another maker are the scheduler's to judge.
func TestLongHandleIsRead(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("x", maxAnswerBytes/4)
	c := newCaller(t, script{ok(results(long, "other:1/b"))})
	is.NoErr(c.call())
	is.Equal(c.got[0].Handle, long)
	err := newCaller(t, script{ok(results("", ""))}).call()
	is.True(err == nil || errors.Is(err, ErrInvalid))
}
