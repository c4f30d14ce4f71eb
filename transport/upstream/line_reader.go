package upstream

import (
	"bufio"
	"bytes"
	"io"
)

// lineReader reads a stream line by line; a last line without a newline is an
// error.
type lineReader struct{ r *bufio.Reader }

func newLineReader(r io.Reader) *lineReader { return &lineReader{r: bufio.NewReader(r)} }

func (l *lineReader) next() ([]byte, error) {
	b, err := l.r.ReadBytes('\n')
	if err == io.EOF && len(b) > 0 {
		return nil, io.ErrUnexpectedEOF
	}
	return bytes.TrimRight(b, "\n"), err
}
