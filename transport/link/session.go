package link

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

// muxSession is a session and its connection.
type muxSession struct {
	*yamux.Session
	conn *conn
}

// Close ends the session, through its receiver.
func (m *muxSession) Close() {
	m.conn.end()
	_ = m.Session.Close()
}

// client begins a session that this process opened.
func client(c *conn) (*muxSession, error) { return watched(c, yamux.Client) }

// server begins a session that a peer opened.
func server(c *conn) (*muxSession, error) { return watched(c, yamux.Server) }

func watched(c *conn, begin func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*muxSession, error) {
	s, err := begin(c, config())
	if err != nil {
		return nil, err
	}
	c.begin(s.CloseChan())
	go watch(s, c)
	return &muxSession{Session: s, conn: c}, nil
}

// watch ends a session whose peer does not answer. It stands for yamux's own
// keepalive, which ends the session first and its connection then.
func watch(s *yamux.Session, c *conn) {
	tick := time.NewTicker(keepAlive)
	defer tick.Stop()
	for {
		select {
		case <-s.CloseChan():
			return
		case <-tick.C:
			if _, err := s.Ping(); err != nil {
				c.end()
				return
			}
		}
	}
}
