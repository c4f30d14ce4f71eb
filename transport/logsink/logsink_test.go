package logsink

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLinesAreWrittenInOrder(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	s := New(&out, 100)
	want := ""
	for i := range 50 {
		line := fmt.Sprintf("line %d\n", i)
		want += line
		_, err := io.WriteString(s, line)
		is.NoErr(err)
	}
	s.Close(10 * time.Second)
	is.Equal(out.String(), want)
	is.Equal(s.Dropped(), int64(0))
}

// blockedWriter blocks in Write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

func TestBlockedWriterDoesNotBlockCallers(t *testing.T) {
	is := is.New(t)
	w := &blockedWriter{release: make(chan struct{})}
	s := New(w, 10)
	for range 1000 {
		_, err := io.WriteString(s, strings.Repeat("x", 100)+"\n")
		is.NoErr(err)
	}
	is.True(s.Dropped() >= 900)
	s.Close(time.Millisecond)
	close(w.release)
}
