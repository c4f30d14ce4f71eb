package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"quinceroad/cmd/load"
	"quinceroad/cmd/standin/proxy"
	"quinceroad/cmd/standin/upstream"
	"quinceroad/protocol/api"
)

// Confirm creates and confirms a plan for a declaration at the first instance
// and waits until its revision is in force at every entry.
func (r *Rig) Confirm(text string) (*api.Confirmation, error) {
	var plan api.Plan
	if err := r.CallOperatorAPI(r.Instances[0], "POST", "/v1/plans", text, &plan); err != nil {
		return nil, err
	}
	var done api.Confirmation
	if err := r.CallOperatorAPI(r.Instances[0], "POST", "/v1/plans/"+plan.ID+"/confirm", "", &done); err != nil {
		return nil, err
	}
	return &done, r.WaitRevision(done.Revision)
}

// WaitRevision waits until every entry has applied the revision or a newer one and has
// received all instances and some replicas.
func (r *Rig) WaitRevision(rev uint64) error {
	return r.WaitUntil(fmt.Sprintf("revision %d everywhere", rev), func() bool {
		for _, in := range r.Instances {
			s, err := r.EntryState(in)
			if err != nil || s.Revision < rev || s.Replicas == 0 || s.Members < len(r.Instances) {
				return false
			}
		}
		return true
	})
}

// EntryState holds the fields of an entry's JSON dump that tests use.
type EntryState struct {
	Revision uint64 `json:"revision"`
	Members  int    `json:"members"`
	Replicas int    `json:"replicas"`
	Ledger   int    `json:"ledger_records"`
	InFlight int    `json:"in_flight"`
}

// EntryState fetches the dump of an instance's entry.
func (r *Rig) EntryState(in *Instance) (EntryState, error) {
	var s EntryState
	resp, err := http.Get("http://" + in.Settings.Entry.Admin + "/debug/state")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// CallOperatorAPI makes one call of the operators' API at an instance's coord and
// decodes the response into out. The status 409 (conflict) is not an error.
func (r *Rig) CallOperatorAPI(in *Instance, method, path, body string, out any) error {
	req, err := http.NewRequest(method, "http://"+in.Settings.Coord.Operators+path, bytes.NewBufferString(body))
	if err != nil {
		return err
	}
	req.Header.Set(api.HeaderAuthorization, "Bearer "+operatorToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= 300 && resp.StatusCode != http.StatusConflict {
		return fmt.Errorf("%s %s: status %d: %s", method, path, resp.StatusCode, b)
	}
	return json.Unmarshal(b, out)
}

// Entries returns the HTTP addresses of all entries.
func (r *Rig) Entries() []string {
	out := make([]string, len(r.Instances))
	for i, in := range r.Instances {
		out[i] = in.Settings.Entry.HTTP
	}
	return out
}

// Journal returns the executions that the upstreams' stand-in recorded.
func (r *Rig) Journal() ([]api.Execution, error) { return load.Journal(r.StandinControl) }

// InjectUpstreamFault injects a fault into a replica.
func (r *Rig) InjectUpstreamFault(f upstream.Fault) error { return injectFault(r.StandinControl, f) }

// InjectPlatformFault injects faults into the platform; f is a platform.Faults.
func (r *Rig) InjectPlatformFault(f any) error { return injectFault(r.Platform, f) }

// InjectLinkFault injects a fault into a proxied route: NAME/coord, NAME/entry or
// NAME/platform, where NAME is an instance.
func (r *Rig) InjectLinkFault(f proxy.Fault) error { return injectFault(r.proxyControl, f) }

func injectFault(addr string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+addr+"/fault", "application/json", bytes.NewReader(b))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("fault: status %d", resp.StatusCode)
	}
	return nil
}
