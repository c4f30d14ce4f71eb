// Package exchange holds a client's request in the product's own terms, as it
// goes from the front to a replica.
package exchange

import (
	"net/http"
	"time"

	"quinceroad/state/catalog"
)

// Request is one attempt of a client.
type Request struct {
	ID              string
	Method          string
	Target          string // as it stood in the request line
	Host            string
	Path            string
	Key             string
	Headers         http.Header // those that go through to the replica
	Body            []byte
	Timeout         time.Duration // that the client waits; 0: not said
	ItemCounts      []int         // for each stage of the route
	ItemKey         string
	Prompt          []catalog.PromptPart
	InputTokens     int
	MaxOutputTokens int // most that it generates
	Model           string
	LastEventID     string
	ArrivedAt       time.Duration // by the clock of the process that took it
}

// Shared returns the parts of the prompt before the last, which is the request's own.
func (r *Request) SharedPrefix() []catalog.PromptPart {
	if len(r.Prompt) == 0 {
		return nil
	}
	return r.Prompt[:len(r.Prompt)-1]
}
