package node

import (
	"bytes"
	"io"
	"testing"
)

// Events are forwarded complete and unchanged, and a stream that breaks off is not taken
// for a complete one.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\nid: 2\nda"))
	f.Fuzz(func(t *testing.T, data []byte) {
		events := newEventReader(bytes.NewReader(data))
		var passed []byte
		for {
			e, err := events.next()
			if err != nil {
				rest := data[len(passed):]
				if err == io.EOF && len(rest) > 0 {
					t.Errorf("%q ends as complete before %q", data, rest)
				}
				break
			}
			passed = append(passed, e.bytes...)
			if len(e.bytes) == 0 || !bytes.HasSuffix(e.bytes, []byte("\n")) {
				t.Errorf("event %q", e.bytes)
			}
		}
		if !bytes.HasPrefix(data, passed) {
			t.Errorf("%q is forwarded as %q", data, passed)
		}
	})
}
