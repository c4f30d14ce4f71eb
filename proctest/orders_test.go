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

const engines = 12 // replicas of scribe-pool

// withModel declares what the generating service's engines serve.
func withModel(r *rig.Rig, model string) string {
	return strings.Replace(r.Declaration, "name = \"scribe-pool\"", "name = \"scribe-pool\"\nmodel = \""+model+"\"", 1)
}

func ordersOf(t *testing.T, r *rig.Rig) []api.OrderRecord {
	t.Helper()
	resp, err := http.Get("http://" + r.StandinControl + "/orders")
	must(t, err)
	defer resp.Body.Close()
	var out []api.OrderRecord
	must(t, json.NewDecoder(resp.Body).Decode(&out))
	return out
}

// serving is the model each replica obeyed last.
func serving(orders []api.OrderRecord) map[string]string {
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
	for _, m := range serving(orders) {
		if m == model {
			n++
		}
	}
	return n == engines
}

// holder returns the instance whose coord has the order lease, or nil.
func holder(t *testing.T, r *rig.Rig) *rig.Instance {
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

// P9: a holder frozen among its orders past its lease, then woken, gives none
// that an engine obeys: what the next holder ordered stays.
func TestFencedOrders(t *testing.T) {
	r := start(t, rig.Options{ExampleDir: kalahari})
	_, err := r.Confirm(withModel(r, "leaf-7b@1"))
	must(t, err)
	must(t, r.WaitUntil("some orders", func() bool { return len(ordersOf(t, r)) >= 3 }))
	old := holder(t, r)
	old.Coord.Freeze()
	must(t, r.WaitUntil("another holder", func() bool { h := holder(t, r); return h != nil && h != old }))
	others := others(r, old)
	p := plan(t, r, others[0], withModel(r, "leaf-7b@2"))
	if d, err := confirm(r, others[0], p.ID); err != nil || d.State != "confirmed" {
		t.Fatal(d, err)
	}
	must(t, r.WaitUntil("all engines ordered", func() bool { return allServe(ordersOf(t, r), "leaf-7b@2") }))
	old.Coord.Thaw()
	must(t, r.WaitRevision(2))
	orders := ordersOf(t, r)
	for _, v := range check.Fenced(orders) {
		t.Error(v)
	}
	if !allServe(orders, "leaf-7b@2") {
		t.Errorf("the engines serve %v", serving(orders))
	}
	t.Logf("%d orders, the woken holder was %s", len(orders), old.Name)
}
