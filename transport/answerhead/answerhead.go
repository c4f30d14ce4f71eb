// Package answerhead judges the heads of HTTP/1 answers, on their bytes, before a parser reads them.
//
// The parsers of libraries are lenient: they repair what a server in trouble has written, or drop it, and
// what they return can't be told from a sound answer. So whoever reads an answer has its head judged here
// first. What is accepted is the grammar of RFC 9112, without what the standard lets a recipient repair;
// a status line may lack the blank before an absent reason. A body in an encoding is refused as well: nobody
// asks for one.
package answerhead

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// Reason is what makes a head none of an answer.
type Reason string

// The reasons, with the sections of RFC 9112 and RFC 9110 that they rest on.
const (
	LineEnd         Reason = "a line does not end with CR LF"                               // 9112, 2.2
	TooLong         Reason = "the head does not fit into the reader's buffer"               // bound of ours
	StatusLine      Reason = "the first line is no status line"                             // 9112, 4
	Version         Reason = "the version is neither HTTP/1.1 nor HTTP/1.0"                 // 9112, 2.3
	Status          Reason = "the status is not from 100 to 599"                            // 9110, 15
	Switch          Reason = "it switches to a protocol that nobody asked for"              // 9110, 7.8
	ReasonPhrase    Reason = "a byte in the reason phrase is not allowed"                   // 9112, 4
	FoldedLine      Reason = "a field continues on a second line, or one begins with space" // 9112, 5.2
	FieldName       Reason = "the name of a field is missing or no token"                   // 9112, 5.1
	FieldValue      Reason = "a byte in the value of a field is not allowed"                // 9110, 5.5
	Length          Reason = "the length is no number, or stated twice"                     // 9112, 6.3
	Coding          Reason = "the transfer coding is not chunked, or stated twice"          // 9112, 6.1
	LengthAndChunks Reason = "both a length and chunks are stated"                          // 9112, 6.3
	Encoding        Reason = "the body has an encoding that nobody asked for"               // 9110, 8.4
)

// Error reports that what came where an answer was due is none.
type Error struct{ Reason Reason }

// Error implements error.
func (e *Error) Error() string { return "not an answer: " + string(e.Reason) }

// ReasonOf returns the reason for which a head was refused, if that is what an error reports.
func ReasonOf(err error) (reason Reason, ok bool) {
	var e *Error
	if !errors.As(err, &e) {
		return "", false
	}
	return e.Reason, true
}

// Head is what was found of a sound head.
type Head struct {
	Bytes  int // with the empty line at its end
	Status int // from 100 to 599
}

// IsInterim reports whether another head follows, without a body between them.
func (h Head) IsInterim() bool { return h.Status < firstFinalStatus }

// Await waits until a head is in the buffer of a reader and judges it, line by line as it arrives. It
// consumes nothing. It returns an Error if there is no head of an answer, io.EOF if the reader ends before
// the first byte, and io.ErrUnexpectedEOF if it ends later.
func Await(r *bufio.Reader) (Head, error) {
	j := &judgement{}
	for {
		arrived, _ := r.Peek(r.Buffered())
		ended, err := j.addLines(arrived)
		if err != nil || ended {
			return j.head, err
		}
		if len(arrived) == r.Size() {
			return Head{}, &Error{TooLong}
		}
		if _, err := r.Peek(len(arrived) + 1); err != nil {
			return Head{}, unexpected(err, len(arrived))
		}
	}
}

// unexpected returns the error of a reader that failed after some bytes of a head.
func unexpected(err error, arrived int) error {
	if err == io.EOF && arrived > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Check judges the bytes of a head and of what follows it. It returns io.ErrUnexpectedEOF if the head has
// no end.
func Check(data []byte) (Head, error) {
	j := &judgement{}
	ended, err := j.addLines(data)
	if err == nil && !ended {
		err = io.ErrUnexpectedEOF
	}
	return j.head, err
}

// judgement is what is known of a head while it arrives.
type judgement struct {
	head      Head
	isOld     bool // HTTP/1.0
	hasLength bool
	isChunked bool
}

// addLines judges the lines that have come since it was called last; data begins with the head. It reports
// whether the head has ended.
func (j *judgement) addLines(data []byte) (ended bool, err error) {
	for {
		line, _, isWhole := bytes.Cut(data[j.head.Bytes:], []byte{'\n'})
		if !isWhole {
			return false, nil
		}
		isFirst := j.head.Bytes == 0
		j.head.Bytes += len(line) + 1
		line, ok := bytes.CutSuffix(line, []byte{'\r'})
		var reason Reason
		switch {
		case !ok:
			reason = LineEnd
		case isFirst:
			reason = j.statusLine(line)
		case len(line) == 0:
			return true, nil
		default:
			reason = j.fieldLine(line)
		}
		if reason != "" {
			return false, &Error{reason}
		}
	}
}
