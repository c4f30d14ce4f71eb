package answerhead

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// textConn is a connection that gives a text and takes whatever is written.
type textConn struct {
	net.Conn
	r io.Reader
}

func (c *textConn) Read(b []byte) (int, error)  { return c.r.Read(b) }
func (c *textConn) Write(b []byte) (int, error) { return len(b), nil }

// What is sound passes through as it is, however it arrives and is read.
func TestConnPassesSoundAnswersOn(t *testing.T) {
	const interim, answer = "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\nno head at all"
	asItIs := func(r io.Reader) io.Reader { return r }
	arrivals := map[string]func(io.Reader) io.Reader{"at once": asItIs, "byte for byte": iotest.OneByteReader, "with its error": iotest.DataErrReader}
	readers := map[string]func(io.Reader) io.Reader{"at once": asItIs, "byte for byte": iotest.OneByteReader}
	for name, arriving := range arrivals {
		for read, reading := range readers {
			t.Run(name+", read "+read, func(t *testing.T) {
				is := is.New(t)
				c := NewConn(&textConn{r: arriving(strings.NewReader(interim + answer + answer))})
				for _, want := range []string{interim + answer, answer} {
					_, err := c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
					is.NoErr(err)
					got := make([]byte, len(want))
					_, err = io.ReadFull(reading(c), got)
					is.NoErr(err)
					is.Equal(string(got), want)
				}
			})
		}
	}
}

// A head that is broken is not read but for a byte, wherever one is due.
func TestConnGivesNothingOfABrokenHead(t *testing.T) {
	const broken, sound = "HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, before := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", sound} {
		t.Run(fmt.Sprintf("after %.12q", before), func(t *testing.T) {
			is := is.New(t)
			c := NewConn(&textConn{r: strings.NewReader(before + broken)})
			got := make([]byte, len(before))
			_, err := io.ReadFull(c, got)
			is.NoErr(err)
			is.Equal(string(got), before)
			_, err = c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
			is.NoErr(err)
			rest, err := io.ReadAll(c)
			is.Equal(string(rest), "H")
			reason, _ := ReasonOf(err)
			is.Equal(reason, Status)
		})
	}
}
