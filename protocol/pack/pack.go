// Package pack compresses declarations for links and the platform: a
// declaration of 5,400 customers would fill the platform's megabyte and most of
// a node's bytes for control (docs/CAPACITY.md).
package pack

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
)

// MaxText bounds an opened declaration in bytes.
const MaxTextSize = 8 << 20

// ErrTooLarge is returned for what would open to more than MaxText.
var ErrTooLarge = errors.New("pack: the text is too large")

// Text compresses a text as small as can be, for what is kept.
func Compress(text string) ([]byte, error) { return compress([]byte(text), gzip.BestCompression) }

// Fast compresses a text with little processor time, for what is sent once.
func CompressFast(text []byte) ([]byte, error) { return compress(text, gzip.BestSpeed) }

func compress(text []byte, level int) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, level)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	err = w.Close()
	return b.Bytes(), err
}

// Open is the reverse of Text.
func Decompress(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(r, MaxTextSize+1))
	if err == nil && len(text) > MaxTextSize {
		return nil, ErrTooLarge
	}
	return text, err
}
