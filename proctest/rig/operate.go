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

// Confirm plans and confirms a declaration through the first instance and
// waits until it is in force at every entry.
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

// WaitRevision waits until every live entry has the revision in force, sees all
// instances and the replicas.
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

// EntryState is what a rig reads of an entry's dump.
type EntryState struct {
	Revision uint64 `json:"revision"`
	Members  int    `json:"members"`
	Replicas int    `json:"replicas"`
	Ledger   int    `json:"ledger_records"`
	InFlight int    `json:"in_flight"`
}

// EntryState reads an entry's dump.
func (r *Rig) EntryState(in *Instance) (EntryState, error) {
	var s EntryState
	resp, err := http.Get("http://" + in.Settings.Entry.Admin + "/debug/state")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// Operate makes one call of the intent API.
func (r *Rig) CallOperatorAPI(in *Instance, method, path, body string, out any) error {
	req, err := http.NewRequest(method, "http://"+in.Settings.Coord.Operators+path, bytes.NewBufferString(body))
	if err != nil {
		return err
	}
	req.Header.Set(api.HeaderAuthorization, "Bearer "+token)
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

// Entries returns the addresses callers use.
func (r *Rig) Entries() []string {
	out := make([]string, len(r.Instances))
	for i, in := range r.Instances {
		out[i] = in.Settings.Entry.HTTP
	}
	return out
}

// Journal returns what the upstreams executed.
func (r *Rig) Journal() ([]api.Execution, error) { return load.Journal(r.StandinControl) }

// FaultUpstream makes a replica do wrong.
func (r *Rig) InjectUpstreamFault(f upstream.Fault) error { return post(r.StandinControl, f) }

// FaultPlatform makes the platform do wrong, by the fields of platform.Faults.
func (r *Rig) InjectPlatformFault(f any) error { return post(r.Platform, f) }

// FaultLink makes a proxied route do wrong: NAME/coord, NAME/entry or NAME/platform.
func (r *Rig) InjectLinkFault(f proxy.Fault) error { return post(r.proxy, f) }

func post(addr string, v any) error {
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
