package answerhead

import (
	"bufio"
	"net"
)

// connBufferBytes is the size of a Conn's buffer, into which a head must fit.
const connBufferBytes = 4 << 10

// Conn is a client's connection on which the head of each answer is judged before its reader gets a byte of
// it, for clients of libraries, which read by themselves. A request is written, then its answer is read to
// the end, then the next one is written.
type Conn struct {
	net.Conn
	r        *bufio.Reader
	headLeft int   // bytes of a judged head that are not read
	isFinal  bool  // that head is followed by a body, not by another head
	isInBody bool  // what follows is no head, until a request is written
	broken   error // of a broken head: nothing is read after it
}

// NewConn returns a connection on which no request was sent.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, r: bufio.NewReaderSize(c, connBufferBytes)} }

// Write writes a part of a request, whose answer begins with a head.
func (c *Conn) Write(b []byte) (int, error) {
	c.headLeft, c.isInBody = 0, false
	return c.Conn.Write(b)
}

// Read reads a part of an answer. It returns an Error where a head is due and none comes, after a byte.
func (c *Conn) Read(b []byte) (int, error) {
	if c.broken != nil {
		return 0, c.broken
	}
	if c.isInBody {
		return c.r.Read(b)
	}
	if c.headLeft == 0 {
		head, err := Await(c.r)
		if err != nil {
			return c.fail(b, err)
		}
		c.headLeft = head.Bytes
		c.isFinal = !head.IsInterim()
	}
	n, err := c.r.Read(b[:min(len(b), c.headLeft)])
	c.headLeft -= n
	c.isInBody = c.headLeft == 0 && c.isFinal
	return n, err
}

// fail ends reading with an error. An Error comes after a byte, which is no head to any parser: before the
// first byte the library's client tells each error as that of a connection that was closed.
func (c *Conn) fail(b []byte, err error) (int, error) {
	if _, isBroken := ReasonOf(err); !isBroken {
		return 0, err
	}
	c.broken = err
	return c.r.Read(b[:min(len(b), 1)])
}
