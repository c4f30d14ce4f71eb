package origin

// Grounds tell on what a verdict rests.
type Grounds string

// The grounds of verdicts. The first four make a build known.
const (
	OwnRecord    Grounds = "own record"
	PeersRecord  Grounds = "record of a peer"
	StoredRecord Grounds = "record in the store"
	OnlyBuild    Grounds = "only build"      // of a complete log that was read for this stream
	NoRecord     Grounds = "no record"       // was found, or too many are searched for
	Several      Grounds = "several builds"  // may have begun it, and no record was found
	Unread       Grounds = "logs not read"   // nobody asked could read the logs in time
	Uncovered    Grounds = "older instances" // are live, which begin streams without the logs
)

// Verdict tells which build of which service began a stream that its client takes up again.
// The zero value is: not known.
type Verdict struct {
	grounds  Grounds
	isKnown  bool
	record   Record
	asked    int
	answered int
}

// KnownBy returns the verdict that a record gives.
func KnownBy(grounds Grounds, r Record) Verdict {
	return Verdict{grounds: grounds, isKnown: true, record: r}
}

// Unknown returns the verdict that nothing proves which build began the stream.
func Unknown(why Grounds) Verdict { return Verdict{grounds: why} }

// WithPeers adds how many peers were asked for a record, and how many of them answered.
func (v Verdict) WithPeers(asked, answered int) Verdict {
	v.asked, v.answered = asked, answered
	return v
}

// Record returns which build of which service began the stream, or false if that is not
// known: the stream must not go on then.
func (v Verdict) Record() (Record, bool) { return v.record, v.isKnown }

// Grounds returns on what the verdict rests.
func (v Verdict) Grounds() Grounds { return v.grounds }

// Peers returns how many peers were asked for a record, and how many of them answered.
func (v Verdict) Peers() (asked, answered int) { return v.asked, v.answered }

// IsKnown reports whether it is known which build began the stream.
func (v Verdict) IsKnown() bool { return v.isKnown }
