package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/coordination/outcome"
	"quinceroad/protocol/api"
)

// startReplica starts a server that repeats the identity headers and then calls
// handler.
func startReplica(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		for _, h := range []string{api.HeaderRequest, api.HeaderStage, api.HeaderAttempt, api.HeaderInputDigest} {
			w.Header().Set(h, q.Header.Get(h))
		}
		handler(w, q)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func newDispatchToken(t *testing.T) outcome.DispatchToken {
	t.Helper()
	d, ok := outcome.NewRecord().Dispatch()
	is.New(t).True(ok)
	return d
}

func newCall(d time.Duration) *Call {
	return &Call{Request: "r", Stage: "s", Attempt: 1, Operation: "x", Input: []byte("in"), Deadline: time.Now().Add(d)}
}

// A missed deadline must be distinguishable from a broken replica.
func TestMissedDeadlineIsReported(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	addr := startReplica(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	conn, err := New().Connect(addr)
	is.NoErr(err)
	_, err = conn.Do(newDispatchToken(t), newCall(50*time.Millisecond))
	is.True(errors.Is(err, ErrIncomplete))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
}

// A replica that runs the call and closes the connection without answering must
// run it only once: no layer below the entry retries.
func TestRequestIsSentOnce(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	addr := startReplica(t, func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.ReadAll(q.Body)
		runs.Add(1)
		panic(http.ErrAbortHandler)
	})
	conn, err := New().Connect(addr)
	is.NoErr(err)
	_, err = conn.Do(newDispatchToken(t), newCall(time.Second))
	is.True(errors.Is(err, ErrIncomplete))
	is.Equal(runs.Load(), int32(1))
}

// Nothing is written without a dispatch token from an outcome record.
func TestNothingIsSentWithoutDispatchToken(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	addr := startReplica(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	conn, err := New().Connect(addr)
	is.NoErr(err)
	_, err = conn.Do(outcome.DispatchToken{}, newCall(time.Second))
	is.Equal(err, ErrNotDispatched)
	is.Equal(runs.Load(), int32(0))
}

// An idle connection is reused unless the replica has closed it.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	accepted := make(chan net.Conn, 4)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	c := New()
	first, err := c.Connect(ln.Addr().String())
	is.NoErr(err)
	peer := <-accepted
	c.putIdle(first)
	again, err := c.Connect(ln.Addr().String())
	is.NoErr(err)
	is.Equal(again, first)
	c.putIdle(first)
	is.NoErr(peer.Close())
	for i := 0; isIdle(first.net); i++ { // until the close has arrived
		is.True(i < 1e7)
	}
	fresh, err := c.Connect(ln.Addr().String())
	is.NoErr(err)
	is.True(fresh != first)
}

// A stream without its end event, or with a different count or digest, is
// reported as incomplete.
func TestIncompleteStreamIsRejected(t *testing.T) {
	token := "data: {\"text\":\"a\"}\n\n"
	cases := []struct {
		name, body string
		whole      bool
	}{
		{"whole", token + token + fmt.Sprintf("event: end\ndata: {\"count\":2,\"digest\":%q}\n\n", Digest([]byte("aa"))), true},
		{"no end", token + token, false},
		{"another count", token + fmt.Sprintf("event: end\ndata: {\"count\":2,\"digest\":%q}\n\n", Digest([]byte("aa"))), false},
		{"another digest", token + token + fmt.Sprintf("event: end\ndata: {\"count\":2,\"digest\":%q}\n\n", Digest([]byte("ab"))), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			addr := startReplica(t, func(w http.ResponseWriter, q *http.Request) {
				w.WriteHeader(200)
				_ = http.NewResponseController(w).Flush() // makes it chunked
				_, _ = io.WriteString(w, c.body)
			})
			conn, err := New().Connect(addr)
			is.NoErr(err)
			a, err := conn.Do(newDispatchToken(t), newCall(time.Second))
			is.Equal(err == nil, c.whole)
			is.True(!c.whole || string(a.Body) == "aa")
		})
	}
}
