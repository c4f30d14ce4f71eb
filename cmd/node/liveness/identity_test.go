package liveness

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/state/catalog"
	"quinceroad/transport/upstream"
)

// askWhoAnswers asks for the identity of a replica named r where a text is the answer; "" is none.
func askWhoAnswers(t *testing.T, text string, closes bool) error {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is := is.New(t)
	is.NoErr(err)
	defer ln.Close()
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1<<10))
		_, _ = io.WriteString(conn, text)
		if closes {
			_ = conn.Close()
		}
	}()
	address := ln.Addr().String()
	conn, err := upstream.New().Dial(address, time.Second)
	is.NoErr(err)
	defer conn.Close()
	return AskIdentity(conn, &catalog.Replica{ID: "r", Address: address}, "/healthz")
}

// What answers is the replica, another one, or nobody who could be told.
func TestAskIdentity(t *testing.T) {
	const end = "Content-Length: 0\r\n\r\n"
	cases := map[string]struct {
		answer string
		closes bool
		want   error
	}{
		"well":          {"HTTP/1.1 200 OK\r\n" + end, false, nil},
		"unwell":        {"HTTP/1.1 503 unwell\r\n" + end, false, nil},
		"another":       {"HTTP/1.1 421 other\r\n" + end, false, ErrAnotherReplica},
		"status 000":    {"HTTP/1.1 000 OK\r\n" + end, false, ErrNoAnswer},
		"broken name":   {"HTTP/1.1 200 OK\r\nX y: 1\r\n" + end, false, ErrNoAnswer},
		"silence":       {"", false, ErrSilent},
		"half a head":   {"HTTP/1.1 200 OK\r\nA: b\r\n", false, ErrSilent},
		"closed":        {"", true, ErrConnectionEnded},
		"closed within": {"HTTP/1.1 200 OK\r\n", true, ErrConnectionEnded},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if err := askWhoAnswers(t, c.answer, c.closes); !errors.Is(err, c.want) {
				t.Errorf("%v, not %v", err, c.want)
			}
		})
	}
}
