package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"quinceroad/protocol/event"
)

func TestExplainOrdersLinesByTime(t *testing.T) {
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

// Logs of refused, failed and late requests, in the format that nodes write.
const explainLogs = `2026-01-01T00:00:00.000Z [INFO]  node: replica left alone: instance=i2 event=3031 replica=d7 why=unreachable usual=0 by=i2
2026-01-01T00:00:00.500Z [INFO]  node: node stopping: instance=i9 event=3002 in_flight=0
2026-01-01T00:00:01.000Z [INFO]  node: job refused: instance=i2 event=3052 request=refused rank=1 again=false expected=4s wait=3s own=1s bound=read limit=3.1s objective=3.2s deadline=8s pools="read:9 waiting, through in 3s, 2 replicas"
2026-01-01T00:00:01.001Z [INFO]  node: request: instance=i1 event=3050 request=refused why="stages refused, back in 1s" objective=3.6s owner=i2 took=2ms
2026-01-01T00:00:01.500Z [INFO]  node: attempt failed: instance=i1 event=3051 request=lost replica=d7 why="the answer broke off" took=40ms kept=true
2026-01-01T00:00:01.501Z [INFO]  node: request: instance=i1 event=3050 request=lost why="the answer broke off" objective=100ms owner="" attempts=1 replica=d7 took=41ms pieces=[]
2026-01-01T00:00:05.000Z [INFO]  node: request: instance=i1 event=3050 request=late why=served objective=2s owner=i2 attempts=1 replica=e3 took=4s staged=2.5s first=2.8s expected=700ms gap=90ms pieces=[1, 6]
2026-01-01T00:00:05.500Z [INFO]  node: request: instance=i1 event=3050 request=slow why=served objective=2s owner=i2 attempts=1 replica=e3 took=4s staged=500ms first=2.8s expected=700ms engine_expected=400ms reads=5000 moves=200 gap=90ms pieces=[1]
2026-01-01T00:00:05.600Z [INFO]  node: refused for its engines' limits: instance=i2 event=3206 request=limited rank=1 wait=4s may_wait=3.5s per_second=1.2
2026-01-01T00:00:05.601Z [INFO]  node: request: instance=i1 event=3050 request=limited why="stages refused, back in 500ms" objective=3.6s owner=i2 took=2ms
2026-01-01T00:00:05.700Z [WARN]  node: cut off from replicas: instance=i1 event=3210 service=llm replica=e3 through=i2 silent=true unlogged=0
2026-01-01T00:00:05.800Z [INFO]  node: request: instance=i1 event=3050 request=relayed why=served objective=2s owner=i2 attempts=1 replica=e3 through=i2 took=1s
2026-01-01T00:00:05.900Z [INFO]  node: request: instance=i1 event=3050 request=taken-up why=served objective=2s owner=i2 attempts=1 replica=e3 through="" took=1s build=v1 resumes=first last_event=7
2026-01-01T00:00:05.950Z [INFO]  node: request: instance=i1 event=3050 request=unknown why="it is not known which build began the stream" objective=2s owner="" attempts=0 replica="" through="" took=3ms build="" resumes="" last_event=7
2026-01-01T00:00:06.000Z [INFO]  node: node stopping: instance=i2 event=3002 in_flight=3
`

func TestExplainVerdicts(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "all.log")
	is.NoErr(os.WriteFile(name, []byte(explainLogs), 0o600))
	for id, want := range map[string][]string{
		"refused":  {"Refused by i2", "after 4s against 3.2s of its objective", "read:9 waiting", "1s by themselves and 3s of waiting, longest for read", "400ms of its objective were taken before, 398ms of it for its engine", "refused, pool read"},
		"limited":  {"Refused by i2", "state limits, 1.2 requests a second together", "after 4s, it could wait 3.5s"},
		"taken-up": {"Served", "Its client took up the stream that request first began, after event 7. It went on at build v1."},
		"unknown":  {"Ended by i1 after 3ms: it is not known which build began the stream.", "the stream that a request that its client does not name began, after event 7."},
		"relayed":  {"Served", "i1 was cut off from replica e3, and i2 relayed the connection.", "Beside it, from 10s before it:\n\n2026-01-01T00:00:05.700Z  i1                 cut off from replicas"},
		"lost":     {"Lost at replica d7 after 40ms", "Beside it, from 10s before it:\n\n2026-01-01T00:00:00.000Z  i2                 replica left alone"},
		"slow":     {"Served late", "its engine (expected to take 400ms to the first event, reading 5000 tokens and fetching 200; took 2.3s)"},
		"late":     {"Served late: it began after 2.8s against an objective of 2s", "its stages, at i2", "[1, 6]", "its stages were expected to take 700ms and took 2.5s"},
	} {
		var out, errOut bytes.Buffer
		is.Equal(Main([]string{"explain", id, name}, &out, &errOut), 0)
		for _, w := range want {
			if !strings.Contains(out.String(), w) {
				t.Errorf("%s: %q is not in\n%s", id, w, out.String())
			}
		}
		is.True(!strings.Contains(out.String(), "node stopping")) // of another instance, or later
	}
}

// The request's own lines are printed first; of the configurations in force meanwhile,
// only the one that served the request is printed.
func TestExplainPrintsRequestBeforeContext(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "all.log")
	is.NoErr(os.WriteFile(name, []byte(`2026-01-01T00:00:00.100Z [INFO]  node: configuration in force: instance=i1 event=3010 version=7 from=store routes=9
2026-01-01T00:00:00.200Z [INFO]  node: configuration in force: instance=i1 event=3010 version=8 from=store routes=9
2026-01-01T00:00:00.250Z [WARN]  node: hall emptied: instance=i1 event=3033 hall=h from=store revision=44
2026-01-01T00:00:00.300Z [INFO]  node: request: instance=i1 event=3050 request=r1 why=served objective=2s version=8 took=40ms replica=d7
2026-01-01T00:00:00.300Z [INFO]  node: replica cold: instance=i1 event=3035 replica=d7 hall=h for=3s
2026-01-01T00:00:00.310Z [INFO]  node: configuration in force: instance=i1 event=3010 version=9 from=store routes=9
`), 0o600))
	var out, errOut bytes.Buffer
	is.Equal(Main([]string{"explain", "r1", name}, &out, &errOut), 0)
	text := out.String()
	is.True(strings.HasPrefix(text, "2026-01-01T00:00:00.300Z  i1                 request\n"))
	is.Equal(strings.Count(text, "configuration in force"), 1)
	is.Equal(strings.Count(text, "hall emptied"), 1)
	is.Equal(strings.Count(text, "replica cold"), 1)
	is.True(strings.Index(text, "Served in time") < strings.Index(text, "Beside it"))
}

// Each command prints its usage for -h and --help, and doesn't take the flag for a file
// name.
func TestEachCommandPrintsItsUsage(t *testing.T) {
	is := is.New(t)
	for name, syntax := range commandSyntax {
		for _, help := range []string{"-h", "--help"} {
			var out, errOut bytes.Buffer
			is.Equal(Main([]string{name, help}, &out, &errOut), 0)
			is.True(strings.Contains(out.String(), "usage: quincectl "+name+" "+syntax[0]))
		}
	}
	var out, errOut bytes.Buffer
	is.Equal(Main([]string{"status", "-h"}, &out, &errOut), 0)
	is.True(strings.Contains(out.String(), "usage: quincectl status"))
}

func TestConfigPrintsAllParseErrors(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "c.json")
	is.NoErr(os.WriteFile(name, []byte(`{"version":1,"routes":[{"name":"a"},{"name":"b","service":"s","stages":[{"service":"none"}]}]}`), 0o600))
	var out, errOut bytes.Buffer
	is.Equal(Main([]string{"config", "-f", name}, &out, &errOut), 2)
	is.True(strings.Contains(errOut.String(), "routes[0] a"))
	is.True(strings.Contains(errOut.String(), "routes[1] b"))
}

func TestConfigPrintsFindingsWithLocation(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "c.json")
	is.NoErr(os.WriteFile(name, []byte(`{"version":3,"routes":[{"name":"a","host":"h","service":"none"}],"services":[{"name":"s"}]}`), 0o600))
	var out, errOut bytes.Buffer
	is.Equal(Main([]string{"config", "-f", name}, &out, &errOut), 1)
	for _, w := range []string{"route a: the prefix", "(service-unknown)", "service s: no route", "3 findings"} {
		is.True(strings.Contains(out.String(), w))
	}
	out.Reset()
	is.Equal(Main([]string{"rules"}, &out, &errOut), 0)
	is.True(strings.Contains(out.String(), "prefix-twice"))
}

// The trace of a quarantined request has the evidence against its fingerprint from the
// client's other attempts, at any instance.
func TestExplainReportsQuarantineEvidence(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "node.log")
	is.NoErr(os.WriteFile(name, []byte(`2026-01-01T00:00:01.000Z [INFO]  node: attempt failed: instance=i2 event=3051 request=r1 fingerprint=ab replica=d7 why="the answer broke off" took=40ms kept=true
2026-01-01T00:00:01.100Z [ERROR] node: request condemned: instance=i2 event=3173 fingerprint=ab ended=3 why="a replica's end"
2026-01-01T00:00:01.100Z [ERROR] node: request condemned: instance=i2 event=3173 fingerprint=cd ended=3 why="a replica's end"
2026-01-01T00:00:02.000Z [INFO]  node: request: instance=i1 event=3050 request=r2 fingerprint=ab why="`+event.ReasonQuarantined+`" took=1ms
`), 0o600))
	var out, errOut bytes.Buffer
	is.Equal(Main([]string{"explain", "r2", name}, &out, &errOut), 0)
	is.True(strings.Contains(out.String(), "Not sent by i1: replicas have ended under this request before (fingerprint ab)"))
	is.True(strings.Contains(out.String(), "request condemned"))
	is.True(!strings.Contains(out.String(), "cd"))
}

// The trace of a request that a part of its prompt keeps from being sent has the evidence against
// that part.
func TestExplainReportsThePartToBlame(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "node.log")
	is.NoErr(os.WriteFile(name, []byte(`2026-01-01T00:00:01.100Z [ERROR] node: request condemned: instance=i2 event=3173 fingerprint=cd kind=part ended=3 tried=1 why="a replica's end"
2026-01-01T00:00:01.200Z [ERROR] node: request condemned: instance=i2 event=3173 fingerprint=99 kind=part ended=3 tried=1 why="a replica's end"
2026-01-01T00:00:02.000Z [INFO]  node: request: instance=i1 event=3050 request=r2 fingerprint=ab parts="[ce cd]" why="`+event.ReasonPartQuarantined+`" took=1ms
`), 0o600))
	var out, errOut bytes.Buffer
	is.Equal(Main([]string{"explain", "r2", name}, &out, &errOut), 0)
	is.True(strings.Contains(out.String(), "Not sent by i1: replicas have ended under requests with a part that it shares with others (parts ce cd)"))
	is.Equal(strings.Count(out.String(), "request condemned"), 1) // not that of another part
}
