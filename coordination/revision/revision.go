// Package revision decides which accepted configuration is in force. A configuration
// never reverts: a lower revision is refused, whatever its source.
package revision

// Config is an accepted configuration.
type Config struct {
	Revision    uint64
	PlanID      string
	Declaration []byte // compressed TOML, opaque to this package
}

// Verdict is the result of Offer.
type Verdict int

// The verdicts of Offer.
const (
	Adopted  Verdict = iota // the configuration is in force now
	Same                    // it was already in force
	Older                   // refused: its revision is lower than the one in force
	Conflict                // refused: a different plan has the same revision
)

// InForce holds the configuration in force. It is not safe for concurrent use; the
// owner holds a lock of rank table.RankConfig.
type InForce struct{ config Config }

// Offer considers a configuration received from the platform or a peer.
func (f *InForce) Offer(c Config) Verdict {
	switch {
	case c.Revision > f.config.Revision:
		f.config = c
		return Adopted
	case c.Revision < f.config.Revision:
		return Older
	case c.PlanID != f.config.PlanID:
		return Conflict
	}
	return Same
}

// Config returns the configuration in force; its revision is 0 if there is none yet.
func (f *InForce) Config() Config { return f.config }
