// Package revision decides which accepted configuration is in force. Revisions
// only rise: a lower one from anywhere is refused (brief: "never reverts").
package revision

// Config is an accepted configuration.
type Config struct {
	Revision    uint64
	PlanID      string
	Declaration []byte // opaque here: compressed TOML
}

// Verdict is what became of an offered configuration.
type Verdict int

// The verdicts of Offer.
const (
	Adopted  Verdict = iota // it is in force now
	Same                    // it was in force
	Older                   // refused: an older one
	Conflict                // refused: another plan under the revision in force
)

// InForce is not safe for concurrent use; its owner guards it (table.RankConfig).
type InForce struct{ config Config }

// Offer takes in a configuration from the platform or a peer.
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

// Config returns the configuration in force; revision 0 means none yet.
func (f *InForce) Config() Config { return f.config }
