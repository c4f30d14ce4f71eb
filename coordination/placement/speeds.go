package placement

import (
	"time"

	"quinceroad/coordination/speed"
	"quinceroad/state/catalog"
)

// speed returns what is known of a service's engines.
func (t *Table) speed(service string) *speed.Service {
	s := t.speeds[service]
	if s == nil {
		s = speed.New(t.opts.Speed)
		t.speeds[service] = s
	}
	return s
}

// Speeds returns what is known of the services' engines.
func (t *Table) Speeds() map[string]*speed.Service { return t.speeds }

// Know takes over what peers know of a service's engines, while little was
// observed here, and reports whether it did.
func (t *Table) SeedSpeed(now time.Duration, service string, f speed.Figures) bool {
	return t.speed(service).Seed(now, f)
}

// Ahead returns how long after its stages a request's first event is to be
// expected at its engine: the time within which most come that are read and
// moved like it. What reads there now will have been read by then.
func (t *Table) TimeToFirstEvent(r *Request, c Choice) time.Duration {
	e := t.engines[c.Replica.ID]
	if e == nil {
		return t.speed(r.Service).Likely(r.tokens())
	}
	return e.speed.Likely(c.PrefillTokens) + e.moveTime(c.TransferTokens)
}

// tokens returns the length of a request's prompt.
func (r *Request) tokens() int {
	n := 0
	for _, p := range r.Parts {
		n += p.Tokens
	}
	return n
}

// emptyTime is an engine's usual time to the first event of an empty prompt.
func (e *engine) emptyTime() time.Duration {
	return time.Duration(float64(e.speed.Usual(0)) * e.speed.Factor(&e.own))
}

// readTime is what an engine takes longer for a prompt of so many tokens.
func (e *engine) readTime(tokens int) time.Duration {
	return time.Duration(float64(e.speed.Usual(tokens)-e.speed.Usual(0)) * e.speed.Factor(&e.own))
}

// moveTime is what it takes to fetch so many tokens of a prompt.
func (e *engine) moveTime(tokens int) time.Duration { return time.Duration(tokens) * e.perMoved }

// unread returns the tokens that an engine still reads, about.
func (e *engine) unread(now time.Duration) int {
	perToken := float64(e.speed.Figures().Usual.PerToken) * e.speed.Factor(&e.own)
	return int(float64(max(e.busyTo-now, 0)) / max(perToken, 1))
}

// perMoved is the time to move a token, by what the configuration states of the
// engines' links.
func perMoved(e *catalog.Engine) time.Duration {
	if e.LinkMbps <= 0 {
		return unstatedMove
	}
	const bitsPerByte, nanosPerMicro = 8, 1e3 // a Mbit/s is a bit in a microsecond
	return time.Duration(float64(e.TokenBytes) * bitsPerByte / e.LinkMbps * nanosPerMicro)
}

// unstatedMove is the time to move a token where the configuration states no
// link.
const unstatedMove = 9 * time.Microsecond
