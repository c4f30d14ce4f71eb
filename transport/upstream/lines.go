package upstream

import (
	"bufio"
	"bytes"
	"io"
)

// lines reads a stream line by line; a last line without its end is a cut.
type lines struct{ r *bufio.Reader }

func newLines(r io.Reader) *lines { return &lines{r: bufio.NewReader(r)} }

func (l *lines) next() ([]byte, error) {
	b, err := l.r.ReadBytes('\n')
	if err == io.EOF && len(b) > 0 {
		return nil, io.ErrUnexpectedEOF
	}
	return bytes.TrimRight(b, "\n"), err
}
