package answerhead

import (
	"bytes"
	"strings"
)

// Statuses that mean something to the head itself.
const (
	firstStatus        = 100
	switchingProtocols = 101
	firstFinalStatus   = 200
	lastStatus         = 599
)

// maxLengthDigits is how many digits a length has at most, so that it fits into 64 bits.
const maxLengthDigits = 18

var (
	fieldLength   = []byte("Content-Length")
	fieldCoding   = []byte("Transfer-Encoding")
	fieldEncoding = []byte("Content-Encoding")
	chunked       = []byte("chunked")
)

// statusLine judges the first line of a head, such as "HTTP/1.1 200 OK". It returns "" if it is sound.
func (j *judgement) statusLine(line []byte) Reason {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	name, number, isVersion := bytes.Cut(version, []byte{'/'})
	if !isVersion || string(name) != "HTTP" {
		return StatusLine
	}
	switch string(number) {
	case "1.1":
	case "1.0":
		j.isOld = true
	default: // later ones are read as 1.0 by the parser, without their chunks
		return Version
	}
	status, phrase, _ := bytes.Cut(rest, []byte{' '})
	if len(status) != len("200") || !isNumber(status) {
		return StatusLine
	}
	j.head.Status = int(status[0]-'0')*100 + int(status[1]-'0')*10 + int(status[2]-'0')
	switch {
	case j.head.Status < firstStatus || j.head.Status > lastStatus:
		return Status
	case j.head.Status == switchingProtocols:
		return Switch
	case !isText(phrase):
		return ReasonPhrase
	}
	return ""
}

// fieldLine judges a line after the first one, such as "Content-Length: 2". It returns "" if it is sound.
func (j *judgement) fieldLine(line []byte) Reason {
	if isSpace(line[0]) {
		return FoldedLine
	}
	name, value, hasColon := bytes.Cut(line, []byte{':'})
	if !hasColon || !isToken(name) {
		return FieldName
	}
	if !isText(value) {
		return FieldValue
	}
	value = bytes.Trim(value, " \t")
	switch {
	case bytes.EqualFold(name, fieldLength):
		return j.length(value)
	case bytes.EqualFold(name, fieldCoding):
		return j.coding(value)
	case bytes.EqualFold(name, fieldEncoding): // clients request bodies as they are, and so does whoever reads one here
		return Encoding
	}
	return ""
}

func (j *judgement) length(value []byte) Reason {
	if j.hasLength || !isNumber(value) || len(value) > maxLengthDigits {
		return Length
	}
	j.hasLength = true
	return j.framing()
}

// coding judges a transfer coding. Nobody asks for another than chunked, and before HTTP/1.1 there was none.
func (j *judgement) coding(value []byte) Reason {
	isChunked := len(value) == len(chunked) && bytes.EqualFold(value, chunked) // a longer value may fold to it
	if j.isChunked || j.isOld || !isChunked {
		return Coding
	}
	j.isChunked = true
	return j.framing()
}

func (j *judgement) framing() Reason {
	if j.hasLength && j.isChunked {
		return LengthAndChunks
	}
	return ""
}

// isText reports whether bytes may stand in the value of a field or in a reason phrase.
func isText(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

// tokenSigns are the bytes of a token that are neither letters nor digits.
const tokenSigns = "!#$%&'*+-.^_`|~"

func isToken(name []byte) bool {
	for _, b := range name {
		isLetter := 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z'
		if !isLetter && !isDigit(b) && strings.IndexByte(tokenSigns, b) < 0 {
			return false
		}
	}
	return len(name) > 0
}

func isNumber(text []byte) bool {
	for _, b := range text {
		if !isDigit(b) {
			return false
		}
	}
	return len(text) > 0
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

func isSpace(b byte) bool { return b == ' ' || b == '\t' }
