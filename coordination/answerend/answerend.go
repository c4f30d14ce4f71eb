// Package answerend decides whether an answer is whole that has ended with its connection.
//
// The head of an answer states where its body ends, by a length or by chunks, or it doesn't: such
// a body is unframed and ends when the replica closes the connection. A replica that crashes
// closes it, too. So the end of an unframed answer proves nothing by itself; it is whole only if
// its replica is known to run after it.
//
// The package does no I/O and reads no clock.
package answerend

// Life is what is known of a replica after an answer of its own has ended.
type Life int

// What may be known of a replica.
const (
	Unknown Life = iota // nobody could tell in time
	Runs                // the same incarnation was found after the end of the answer
	Ended               // its port refuses, or another incarnation has its address
)

// String implements fmt.Stringer.
func (l Life) String() string { return [...]string{"unknown", "runs", "ended"}[l] }

// End is the end of an answer that was read to it without an error.
type End struct {
	Framed  bool // the head states where the body ends
	Life    Life // of the replica after the end; only unframed answers need it
	Leaving bool // the replica has announced that it ends
}

// Verdict is what an end means for the answer.
type Verdict int

// The verdicts.
const (
	Whole    Verdict = iota
	Broken           // the replica has ended, and with it the answer
	Doubtful         // it may be a part; it must not look complete
)

// String implements fmt.Stringer.
func (v Verdict) String() string { return [...]string{"whole", "broken", "doubtful"}[v] }

// Verdict returns what the end means.
func (e End) Verdict() Verdict {
	switch {
	case e.Framed, e.Life == Runs:
		return Whole
	case e.Life == Ended && !e.Leaving:
		return Broken
	}
	// One that is leaving may end after its last answer, or crash in the middle of it.
	return Doubtful
}
