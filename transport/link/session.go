package link

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

// muxSession is a yamux session and its connection.
type muxSession struct {
	*yamux.Session
	conn *conn
}

// Close closes the connection, so that the receiver closes the session. If the
// receiver has not done so within closeTimeout, Close closes the session itself.
func (m *muxSession) Close() {
	m.conn.closeAndWait()
	_ = m.Session.Close()
}

// newClientSession starts a session on a connection that this process opened.
func newClientSession(c *conn) (*muxSession, error) { return newSession(c, yamux.Client) }

// newServerSession starts a session on a connection that a peer opened.
func newServerSession(c *conn) (*muxSession, error) { return newSession(c, yamux.Server) }

func newSession(c *conn, create func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*muxSession, error) {
	s, err := create(c, muxConfig())
	if err != nil {
		return nil, err
	}
	c.setSession(s.CloseChan())
	go runKeepAlive(s, c)
	return &muxSession{Session: s, conn: c}, nil
}

// runKeepAlive closes a session whose peer does not answer pings. It replaces
// yamux's own keepalive, which closes the session before its connection and so
// leaves readers of streams in a busy loop (see conn.closeAndWait).
func runKeepAlive(s *yamux.Session, c *conn) {
	tick := time.NewTicker(keepAliveInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.CloseChan():
			return
		case <-tick.C:
			if _, err := s.Ping(); err != nil {
				c.closeAndWait()
				return
			}
		}
	}
}
