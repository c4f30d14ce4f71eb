package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestExplainPutsARequestsLinesInOrder(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	is.NoErr(os.WriteFile(a, []byte(`   1.5 i1 2026-01-01T00:00:02.000Z [INFO]  node: request: instance=i1 event=3050 request=r1 why="stages refused, back in 1s" took=2ms
2026-01-01T00:00:03.000Z [INFO]  node: request: instance=i1 event=3050 request=r2 why=served
`), 0o600))
	is.NoErr(os.WriteFile(b, []byte("2026-01-01T00:00:01.000Z [INFO]  node: job refused: instance=i2 event=3052 request=r1 expected=4s\n"), 0o600))
	var out, errOut bytes.Buffer
	is.Equal(Main([]string{"explain", "r1", a, b}, &out, &errOut), 0)
	text := out.String()
	is.True(strings.Index(text, "job refused") < strings.Index(text, "stages refused, back in 1s"))
	is.True(strings.Contains(text, "i2"))
	is.True(!strings.Contains(text, "served"))
	is.Equal(Main([]string{"explain", "r9", a}, &out, &errOut), 1)
	is.Equal(Main([]string{"explain", "r1", filepath.Join(dir, "none")}, &out, &errOut), 2)
}

func TestConfigPrintsAllFaults(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "c.json")
	is.NoErr(os.WriteFile(name, []byte(`{"version":1,"routes":[{"name":"a"},{"name":"b","service":"s","stages":[{"service":"none"}]}]}`), 0o600))
	var out, errOut bytes.Buffer
	is.Equal(Main([]string{"config", "-f", name}, &out, &errOut), 2)
	is.True(strings.Contains(errOut.String(), "routes[0] a"))
	is.True(strings.Contains(errOut.String(), "routes[1] b"))
}
