// Package pack compresses declarations for links and the platform. Without
// compression a declaration of 5,400 customers would fill the platform's limit of
// one megabyte and use up most of a node's bandwidth for control traffic
// (docs/CAPACITY.md).
package pack

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"sync"
)

// MaxTextSize is the maximum size of a decompressed declaration in bytes.
const MaxTextSize = 8 << 20

// ErrTooLarge is returned for data that decompresses to more than MaxTextSize.
var ErrTooLarge = errors.New("pack: decompressed text is too large")

// Compress compresses a text with the best ratio, for storage.
func Compress(text string) ([]byte, error) { return compress([]byte(text), gzip.BestCompression) }

// CompressFast compresses a text with little processor time, for data that is
// sent once.
func CompressFast(text []byte) ([]byte, error) { return compress(text, gzip.BestSpeed) }

func compress(text []byte, level int) ([]byte, error) {
	var b bytes.Buffer
	w, err := writerOf(level, &b)
	if err != nil {
		return nil, err
	}
	defer writers[level].Put(w)
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	err = w.Close()
	return b.Bytes(), err
}

// writers holds unused writers by level. A writer's tables are larger than most texts.
var writers = map[int]*sync.Pool{gzip.BestCompression: {}, gzip.BestSpeed: {}}

// writerOf returns a writer of a level that writes to b.
func writerOf(level int, b *bytes.Buffer) (*gzip.Writer, error) {
	if w, ok := writers[level].Get().(*gzip.Writer); ok {
		w.Reset(b)
		return w, nil
	}
	return gzip.NewWriterLevel(b, level)
}

// Decompress is the reverse of Compress and CompressFast.
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
