package node

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"quinceroad/coordination/quarantine"
	"quinceroad/state/catalog"
)

// A replica that is ending may take one more connection before its port is
// closed; it was taken for running, and its end was not counted.
func TestALookAtAReplicaThatIsEnding(t *testing.T) {
	is := is.New(t)
	n := nodeOfTwo()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		_ = ln.Close() // before the connection ends, or the next one may be taken
		_ = conn.Close()
	}()
	r := &catalog.Replica{ID: "r", Address: ln.Addr().String()}
	<-n.brokeOff(r, n.now(), 7).done
	is.True(n.quarantine.hasEnded("r"))
	is.Equal(n.verdict(7), quarantine.Suspect)
}

// One that runs keeps the connection, and has not ended.
func TestALookAtAReplicaThatRuns(t *testing.T) {
	is := is.New(t)
	n := nodeOfTwo()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	<-n.brokeOff(&catalog.Replica{ID: "r", Address: ln.Addr().String()}, n.now(), 7).done
	is.True(!n.quarantine.hasEnded("r"))
	is.Equal(n.verdict(7), quarantine.Unsuspected)
}
