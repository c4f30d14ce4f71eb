// Package clientrequest holds a client's request in internal form, independent of the
// platform's header names, on its way from the client to a replica.
package clientrequest

import (
	"net/http"
	"time"

	"quinceroad/state/catalog"
)

// Request is one attempt of a client; a retry by the client is another Request.
type Request struct {
	ID              string
	Method          string
	Target          string // request target as in the request line
	Host            string
	Path            string
	Key             string
	Headers         http.Header // end-to-end headers, which are forwarded to the replica
	Body            []byte
	Timeout         time.Duration // how long the client waits; 0: not stated
	ItemCounts      []int         // number of items for each stage of the route
	ItemKey         string
	Prompt          []catalog.PromptPart
	InputTokens     int
	MaxOutputTokens int // maximum number of generated tokens
	Model           string
	LastEventID     string
	ResumedID       string        // ID of the request that brought the first event of the stream that this one continues; "": none
	ArrivedAt       time.Duration // by the clock of the process that received it
}

// SharedPrefix returns the prompt's parts without the last one, which is specific
// to the request.
func (r *Request) SharedPrefix() []catalog.PromptPart {
	if len(r.Prompt) == 0 {
		return nil
	}
	return r.Prompt[:len(r.Prompt)-1]
}
