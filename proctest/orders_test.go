package proctest

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"quinceroad/cmd/check"
	"quinceroad/proctest/rig"
	"quinceroad/protocol/api"
	client "quinceroad/transport/platform"
)

const engineCount = 12 // number of replicas of scribe-pool

// withModel returns the declaration with the model that the engines of the
// generating service must serve.
func withModel(r *rig.Rig, model string) string {
	return strings.Replace(r.Declaration, "name = \"scribe-pool\"", "name = \"scribe-pool\"\nmodel = \""+model+"\"", 1)
}

func fetchOrders(t *testing.T, r *rig.Rig) []api.OrderRecord {
	t.Helper()
	resp, err := http.Get("http://" + r.StandinControl + "/orders")
	must(t, err)
	defer resp.Body.Close()
	var out []api.OrderRecord
	must(t, json.NewDecoder(resp.Body).Decode(&out))
	return out
}

// servedModels returns the model of the last order that each replica obeyed.
func servedModels(orders []api.OrderRecord) map[string]string {
	out := make(map[string]string)
	for _, o := range orders {
		if o.Obeyed {
			out[o.Replica] = o.Model
		}
	}
	return out
}

func allServe(orders []api.OrderRecord, model string) bool {
	n := 0
	for _, m := range servedModels(orders) {
		if m == model {
			n++
		}
	}
	return n == engineCount
}

// leaseHolder returns the instance whose coord holds the lease for orders, or nil.
func leaseHolder(t *testing.T, r *rig.Rig) *rig.Instance {
	t.Helper()
	kv, err := client.New(r.Platform).Get("orders/lease")
	must(t, err)
	name, _, _ := strings.Cut(string(kv.Value), "/")
	for _, in := range r.Instances {
		if in.Name == name {
			return in
		}
	}
	return nil
}

// P9: when a lease holder is frozen while it gives orders, until its lease has
// expired, and then resumes, no engine obeys its further orders: the orders of
// the next holder stay in effect.
func TestFencedOrders(t *testing.T) {
	r := start(t, rig.Options{ExampleDir: kalahari})
	_, err := r.Confirm(withModel(r, "leaf-7b@1"))
	must(t, err)
	must(t, r.WaitUntil("some orders", func() bool { return len(fetchOrders(t, r)) >= 3 }))
	frozen := leaseHolder(t, r)
	frozen.Coord.Freeze()
	must(t, r.WaitUntil("another holder", func() bool { h := leaseHolder(t, r); return h != nil && h != frozen }))
	others := otherInstances(r, frozen)
	p := createPlan(t, r, others[0], withModel(r, "leaf-7b@2"))
	if d, err := confirmPlan(r, others[0], p.ID); err != nil || d.State != "confirmed" {
		t.Fatal(d, err)
	}
	must(t, r.WaitUntil("all engines ordered", func() bool { return allServe(fetchOrders(t, r), "leaf-7b@2") }))
	frozen.Coord.Thaw()
	must(t, r.WaitRevision(2))
	orders := fetchOrders(t, r)
	for _, v := range check.StaleFences(orders) {
		t.Error(v)
	}
	if !allServe(orders, "leaf-7b@2") {
		t.Errorf("the engines serve %v", servedModels(orders))
	}
	t.Logf("%d orders, the resumed holder was %s", len(orders), frozen.Name)
}
