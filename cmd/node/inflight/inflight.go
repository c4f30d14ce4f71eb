// Package inflight keeps track of the requests in flight at replicas, to cancel them when it is
// known that their answers will not come or are not wanted.
package inflight

import "sync"

// Registry holds the requests of this instance in flight at replicas by what they have in
// common, so that they can be cancelled together. It has a lock of its own, under which no other
// is acquired.
type Registry struct {
	mu      sync.Mutex
	cancels map[string]map[*func()]struct{}
}

// NewRegistry returns a registry without requests.
func NewRegistry() *Registry {
	return &Registry{cancels: make(map[string]map[*func()]struct{})}
}

// Add registers a request under a key. cancel is called when the requests under the key are
// cancelled. The returned function removes the request.
func (r *Registry) Add(key string, cancel func()) (remove func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancels[key] == nil {
		r.cancels[key] = make(map[*func()]struct{})
	}
	r.cancels[key][&cancel] = struct{}{}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.cancels[key], &cancel)
		if len(r.cancels[key]) == 0 {
			delete(r.cancels, key)
		}
	}
}

// Cancel cancels the requests under a key and returns their number.
func (r *Registry) Cancel(key string) int {
	r.mu.Lock()
	var cancels []func()
	for cancel := range r.cancels[key] {
		cancels = append(cancels, *cancel)
	}
	r.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
	return len(cancels)
}
