package peek

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

func TestLook(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	near, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	far, err := ln.Accept()
	is.NoErr(err)
	until := func(want State) {
		t.Helper()
		for i := 0; Inspect(near) != want; i++ {
			is.True(i < 1e7) // what was sent arrives
		}
	}
	is.Equal(Inspect(near), Idle)
	_, err = far.Write([]byte("x"))
	is.NoErr(err)
	until(Readable)
	n, err := near.Read(make([]byte, 8))
	is.NoErr(err)
	is.Equal(n, 1) // a look takes nothing
	is.Equal(Inspect(near), Idle)
	is.NoErr(far.Close())
	until(Closed)
}
