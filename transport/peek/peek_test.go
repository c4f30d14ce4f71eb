package peek

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

func TestInspect(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	server, err := ln.Accept()
	is.NoErr(err)
	waitFor := func(want State) {
		t.Helper()
		for i := 0; Inspect(client) != want; i++ {
			is.True(i < 1e7) // until the sent data or close has arrived
		}
	}
	is.Equal(Inspect(client), Idle)
	_, err = server.Write([]byte("x"))
	is.NoErr(err)
	waitFor(Readable)
	n, err := client.Read(make([]byte, 8))
	is.NoErr(err)
	is.Equal(n, 1) // Inspect consumes nothing
	is.Equal(Inspect(client), Idle)
	is.NoErr(server.Close())
	waitFor(Closed)
}
