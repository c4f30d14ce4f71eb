package link

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

// client begins a session that this process opened.
func client(c *conn) (*yamux.Session, error) { return watched(c, yamux.Client) }

// server begins a session that a peer opened.
func server(c *conn) (*yamux.Session, error) { return watched(c, yamux.Server) }

func watched(c *conn, begin func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*yamux.Session, error) {
	mux, err := begin(c, config())
	if err != nil {
		return nil, err
	}
	go watch(mux, c)
	return mux, nil
}

// watch ends a session whose peer does not answer. It stands for yamux's own
// keepalive, which ends the session first and its connection then: between the
// two, whoever reads from a stream of it spins until the session's receiver has
// its turn. Here the connection ends, and the receiver ends the session.
func watch(mux *yamux.Session, c *conn) {
	tick := time.NewTicker(keepAlive)
	defer tick.Stop()
	for {
		select {
		case <-mux.CloseChan():
			return
		case <-tick.C:
			if _, err := mux.Ping(); err != nil {
				_ = c.Conn.Close()
				return
			}
		}
	}
}
