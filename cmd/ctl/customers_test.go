package ctl

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Counts of all instances are summed, the customer with most requests first; a
// throttled customer is shown with its share.
func TestCustomersSumsInstances(t *testing.T) {
	is := is.New(t)
	state := func(body string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	one := state(`{"Name":"n1","Customers":{"a":{"Sent":10,"Served":9,"NotServed":1},"b":{"Sent":30,"Served":10,"NotServed":20,"Beyond":18}},
		"Cells":[{"Number":2,"Shares":[{"Customer":"b","Resource":"pool","Asked":4,"Share":1.5,"Held":true},{"Customer":"a","Resource":"pool","Asked":0.5}]}]}`)
	two := state(`{"Name":"n2","Customers":{"a":{"Sent":5,"Served":5}}}`)
	beforeShares := state(`{"Name":"n3"}`)
	var out, errOut bytes.Buffer
	is.Equal(Main([]string{"customers", one, two, beforeShares}, &out, &errOut), 0)
	rows := strings.Split(out.String(), "\n")
	is.Equal(strings.Join(strings.Fields(rows[1]), " "), "b 30 10 20 18 pool (cell 2) 4.00, held to 1.50")
	is.Equal(strings.Join(strings.Fields(rows[2]), " "), "a 15 14 1 0 pool (cell 2) 0.50")
	is.Equal(Main([]string{"customers"}, &out, &errOut), 2)
}

// A request refused because its customer is over its share has a cause of its own in
// losses, and explain prints the demand and the share that decided.
func TestOverShareRefusalReportsFigures(t *testing.T) {
	is := is.New(t)
	log := filepath.Join(t.TempDir(), "log")
	is.NoErr(os.WriteFile(log, []byte(`2026-01-01T00:00:01.000Z [INFO]  node: request: instance=i1 event=3050 request=r1 customer=office route=x why="over its customer's share, back in 1s" objective=3s took=2ms owner=i2 short=pool asked=8.5 share=2.25
2026-01-01T00:00:01.000Z [INFO]  node: request: instance=i1 event=3050 request=r2 customer=clerk route=x why=served objective=3s took=20ms first=10ms
2026-01-01T00:00:01.000Z [INFO]  node: request: instance=i1 event=3050 request=r3 route=y why=served objective=3s took=20ms first=10ms
`), 0o600))
	var out, errOut bytes.Buffer
	is.Equal(Main([]string{"losses", log}, &out, &errOut), 0)
	is.True(strings.Contains(out.String(), "over its customer's share"))
	rows := strings.Split(out.String(), "\n")
	at := 0
	for i, row := range rows {
		if strings.HasPrefix(row, "customer ") {
			at = i
		}
	}
	is.Equal(strings.Join(strings.Fields(rows[at+1]), " "), "clerk 1 0 x 1.00")
	is.Equal(strings.Join(strings.Fields(rows[at+2]), " "), "office 1 1 x 0.00 over its customer's share 1")
	out.Reset()
	is.Equal(Main([]string{"explain", "r1", log}, &out, &errOut), 0)
	is.True(strings.Contains(out.String(), "Refused by i2: customer office is over its share of pool, of which it asked for 8.5 seconds of replicas a second and may have 2.25 while others wait."))
}
