package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/matryer/is"
)

// What a day's logs say of requests that were served, refused by the pool that
// bound, given up, late by their stages and by their engine, and lost.
const dayLogs = `2026-01-01T00:00:00.100Z [INFO]  node: node started: instance=i1 event=3001 front=a link=b
2026-01-01T00:00:01.000Z [INFO]  node: job refused: instance=i2 event=3052 request=r1 expected=4s pools="read:0 waiting, through in 900ms, 2 replicas; rank:9 waiting, through in 3s, 2 replicas"
2026-01-01T00:00:01.001Z [INFO]  node: request: instance=i1 event=3050 request=r1 route=x why="stages refused, back in 1s" objective=3.6s took=2ms
2026-01-01T00:00:01.100Z [INFO]  node: request: instance=i1 event=3050 request=r2 route=y why=served objective=1s took=900ms staged=500ms first=800ms expected=700ms
2026-01-01T00:00:02.100Z [INFO]  node: request: instance=i1 event=3050 request=r3 route=y why="stages failed: late" objective=1s took=600ms
2026-01-01T00:00:02.200Z [INFO]  node: request: instance=i1 event=3050 request=r4 route=y why=served objective=1s took=3s staged=1.5s first=2s expected=600ms
2026-01-01T00:00:02.300Z [INFO]  node: request: instance=i1 event=3050 request=r5 route=y why=served objective=1s took=3s staged=200ms first=2s expected=400ms
2026-01-01T00:00:02.400Z [INFO]  node: request: instance=i1 event=3050 request=r6 route=z why="the answer broke off" objective=100ms took=41ms
2026-01-01T00:00:02.500Z [INFO]  node: request: instance=i1 event=3050 request=r7 route=z why=served objective=100ms took=300ms staged=0s first=0s
`

func TestLossesAreSummedByCauseAndTime(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "all.log")
	is.NoErr(os.WriteFile(name, []byte(dayLogs), 0o600))
	var out, errOut bytes.Buffer
	is.Equal(Main([]string{"losses", name}, &out, &errOut), 0)
	for _, want := range []string{
		`7 attempts of clients ended, 6 of them not served in time; 1 starts of processes`,
		`refused, pool rank +1  x 1 +r1`,
		`given up, late +1  y 1 +r3`,
		`late, stages +1  y 1 +r4`,
		`late, engine +1  y 1 +r5`,
		`late, replica +1  z 1 +r7`,
		`the answer broke off +1  z 1 +r6`,
		`2026-01-01T00:00:00Z +2 +1  refused, pool rank 1`,
		`2026-01-01T00:00:02Z +5 +5  `,
		`of 3 admitted: one in ten under -200ms, half under -200ms`,
	} {
		if !regexp.MustCompile(want).MatchString(out.String()) {
			t.Errorf("%q is not in\n%s", want, out.String())
		}
	}
}

func TestLossesOfNoRequestAreAnError(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "empty.log")
	is.NoErr(os.WriteFile(name, nil, 0o600))
	var out, errOut bytes.Buffer
	is.Equal(Main([]string{"losses", name}, &out, &errOut), 1)
	is.Equal(Main([]string{"losses", name + ".none"}, &out, &errOut), 2)
}

// A command without its arguments tells how it is called.
func TestAWrongCallShowsTheCommandsOwnUsage(t *testing.T) {
	is := is.New(t)
	for _, command := range []string{"explain", "losses", "plan", "confirm", "config"} {
		var out, errOut bytes.Buffer
		is.Equal(Main([]string{command}, &out, &errOut), 2)
		if !regexp.MustCompile(`usage: quincectl ` + command + ` .*\n.*example: quincectl .*` + command).MatchString(errOut.String()) {
			t.Errorf("%s: %q", command, errOut.String())
		}
	}
}
