package ctl

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Instances with a lower level are listed by name; nodes of builds without levels
// are accepted.
func TestBuildsListsInstancesBehind(t *testing.T) {
	is := is.New(t)
	state := func(body string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	current := state(`{"Name":"n1","Build":"0.1.0 abc","Level":1,"FleetLevel":0,"Waiting":["replicas named once"],"Instances":[{"Name":"n1","Level":1},{"Name":"n2","Level":0}]}`)
	beforeLevels := state(`{"Name":"n2","Instances":[{"Name":"n1"}]}`)
	var out, errOut bytes.Buffer
	is.Equal(Main([]string{"builds", current, beforeLevels}, &out, &errOut), 0)
	rows := strings.Split(out.String(), "\n")
	is.Equal(strings.Join(strings.Fields(rows[1]), " "), "n1 0.1.0 abc 1 0 n2 replicas named once")
	is.Equal(strings.Join(strings.Fields(rows[2]), " "), "n2 before levels 0 0 nobody nothing")
	is.Equal(Main([]string{"builds"}, &out, &errOut), 2)
}
