package ctl

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Logs of requests that were served, refused because of a pool, given up, late because
// of their stages or engine, and lost.
const lossLogs = `2026-01-01T00:00:00.100Z [INFO]  node: node started: instance=i1 event=3001 front=a link=b
2026-01-01T00:00:01.000Z [INFO]  node: job refused: instance=i2 event=3052 request=r1 expected=4s own=1s bound=rank limit=3s objective=3s pools="rank:9 waiting, through in 3s, 2 replicas"
2026-01-01T00:00:01.001Z [INFO]  node: request: instance=i1 event=3050 request=r1 route=x why="stages refused, back in 1s" objective=3.6s took=2ms
2026-01-01T00:00:01.100Z [INFO]  node: request: instance=i1 event=3050 request=r2 route=y why=served objective=1s took=900ms staged=500ms first=800ms expected=700ms
2026-01-01T00:00:02.100Z [INFO]  node: request: instance=i1 event=3050 request=r3 route=y why="stages failed: late" objective=1s took=600ms
2026-01-01T00:00:02.200Z [INFO]  node: request: instance=i1 event=3050 request=r4 route=y why=served objective=1s took=3s staged=1.5s first=2s expected=600ms
2026-01-01T00:00:02.300Z [INFO]  node: request: instance=i1 event=3050 request=r5 route=y why=served objective=1s took=3s staged=200ms first=2s expected=400ms
2026-01-01T00:00:02.400Z [INFO]  node: request: instance=i1 event=3050 request=r6 route=z why="the answer broke off" objective=100ms took=41ms
2026-01-01T00:00:02.500Z [INFO]  node: request: instance=i1 event=3050 request=r7 route=z why=served objective=100ms took=300ms staged=0s first=0s
`

func TestLossesByCauseAndTime(t *testing.T) {
	wantLosses(t, lossLogs,
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
	)
}

// Five refusals, each with another cause: a pool, the engine, too little time left on
// arrival, the duration of the stages alone, and none logged. A pool that the request
// doesn't use is never the cause, however long its queue.
const refusalLogs = `2026-01-01T00:00:01.000Z [INFO]  node: job refused: instance=i2 event=3052 request=pool expected=2.6s wait=2s own=600ms bound=portal limit=2.4s objective=2.5s pools="portal:40 waiting, through in 2s, 2 replicas"
2026-01-01T00:00:01.001Z [INFO]  node: request: instance=i1 event=3050 request=pool route=x why="stages refused, back in 200ms" objective=3s took=2ms
2026-01-01T00:00:01.100Z [INFO]  node: job refused: instance=i2 event=3052 request=engine expected=600ms wait=0s own=600ms bound="" limit=16ms objective=16ms pools="portal:0 waiting, through in 0s, 2 replicas"
2026-01-01T00:00:01.101Z [INFO]  node: request: instance=i1 event=3050 request=engine route=x why="stages refused, back in 600ms" objective=1.2s took=2ms
2026-01-01T00:00:01.200Z [INFO]  node: job refused: instance=i2 event=3052 request=slack expected=700ms wait=100ms own=600ms bound=portal limit=100ms objective=110ms pools="portal:1 waiting, through in 100ms, 2 replicas"
2026-01-01T00:00:01.201Z [INFO]  node: request: instance=i1 event=3050 request=slack route=x why="stages refused, back in 600ms" objective=1.2s took=1s
2026-01-01T00:00:01.300Z [INFO]  node: job refused: instance=i2 event=3052 request=alone expected=2s wait=0s own=2s bound="" limit=1s objective=1.1s pools="portal:0 waiting, through in 0s, 2 replicas"
2026-01-01T00:00:01.301Z [INFO]  node: request: instance=i1 event=3050 request=alone route=x why="stages refused, back in 1s" objective=1.2s took=2ms
2026-01-01T00:00:01.400Z [INFO]  node: job refused: instance=i2 event=3052 request=none expected=0s wait=0s own=0s bound="" limit=0s objective=1.1s pools=""
2026-01-01T00:00:01.401Z [INFO]  node: request: instance=i1 event=3050 request=none route=x why="stages refused, back in 1s" objective=1.2s took=2ms
`

// A request refused because all engines are rate limited has that as its cause.
func TestLossesReportEngineRateLimits(t *testing.T) {
	wantLosses(t, `2026-01-01T00:00:05.600Z [INFO]  node: refused for its engines' limits: instance=i2 event=3206 request=limited rank=1 wait=4s may_wait=3.5s per_second=1.2
2026-01-01T00:00:05.601Z [INFO]  node: request: instance=i1 event=3050 request=limited route=x why="stages refused, back in 500ms" objective=3.6s took=2ms
`, `refused, limits of all its engines +1  x 1 +limited\n`)
}

func TestLossesReportRefusalBottleneck(t *testing.T) {
	wantLosses(t, refusalLogs,
		`refused, pool portal +1  x 1 +pool\n`,
		`refused, engine +1  x 1 +engine\n`,
		`refused, slack at arrival +1  x 1 +slack\n`,
		`refused, stages alone +1  x 1 +alone\n`,
		`refused, pool not known +1  x 1 +none\n`,
	)
}

// A request that its own region refuses may spill over to another region, which may
// refuse it too. The client receives the reason of the first refusal, and losses reports
// the same. The refusal of an earlier attempt with the same request id is not taken for
// that of the later one.
const refusedTwiceLogs = `2026-01-01T00:00:09.500Z [INFO]  node: job refused: instance=i3 event=3052 request=r expected=2s own=600ms bound=far limit=1s objective=1s
2026-01-01T00:00:09.400Z [INFO]  node: job refused: instance=i2 event=3052 request=r expected=2s own=600ms bound=near limit=1s objective=1s
2026-01-01T00:00:05.000Z [INFO]  node: job refused: instance=i2 event=3052 request=r expected=2s own=600ms bound=earlier limit=1s objective=1s
2026-01-01T00:00:09.501Z [INFO]  node: request: instance=i1 event=3050 request=r route=x why="stages refused, back in 1s" objective=3s took=120ms
2026-01-01T00:00:05.001Z [INFO]  node: request: instance=i1 event=3050 request=r route=x why="stages refused, back in 1s" objective=3s took=2ms
2026-01-01T00:00:07.000Z [INFO]  node: job refused: instance=i2 event=3052 request=known expected=600ms own=600ms limit=50ms engine_expected=40ms objective=50ms
2026-01-01T00:00:07.001Z [INFO]  node: request: instance=i1 event=3050 request=known route=x why="stages refused, back in 1s" objective=1s took=2ms
`

func TestRefusalMatchesItsAttempt(t *testing.T) {
	wantLosses(t, refusedTwiceLogs,
		`refused, pool near +1 `,
		`refused, pool earlier +1 `,
		`refused, slack at arrival +1  x 1 +known\n`, // the engine needed 40 ms of the 950 ms spent before the stages
	)
}

// Twenty requests of each of two routes; of the more urgent route, the two with the
// longest prompts are refused. Losses are shown by decile of prompt size and by rank.
func TestLossesBySizeAndRank(t *testing.T) {
	var logs strings.Builder
	line := func(id string, route string, rank, tokens int, why string) {
		fmt.Fprintf(&logs, "2026-01-01T00:00:01.000Z [INFO]  node: request: instance=i1 event=3050 request=%s route=%s rank=%d why=%q objective=1s took=2ms tokens=%d\n", id, route, rank, why, tokens)
	}
	for n := range 20 {
		why := reasonServed
		if n >= 18 {
			why = "no replica was reached"
		}
		line(fmt.Sprint("l", n), "long", 2, 5000-n, reasonServed)
		line(fmt.Sprint("u", n), "urgent", 0, 100*n, why)
	}
	line("p", "post", 1, 0, reasonServed) // without a prompt: counted by rank, not by size
	out := wantLosses(t, logs.String(),
		`urgent +0 +20 +2  +0/2 0/2 0/2 0/2 0/2 0/2 0/2 0/2 0/2 2/2  no replica was reached 2\n`,
		`long +2 +20 +0  +0/2 0/2 0/2 0/2 0/2 0/2 0/2 0/2 0/2 0/2 *\n`,
		`rank +asked +lost +causes\n0 +20 +2  no replica was reached 2\n1 +1 +0  \n2 +20 +0`,
	)
	if strings.Contains(out, "post") {
		t.Errorf("a route without prompts is grouped by size:\n%s", out)
	}
}

func wantLosses(t *testing.T, logs string, patterns ...string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "all.log")
	if err := os.WriteFile(name, []byte(logs), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errOut bytes.Buffer
	if code := Main([]string{"losses", name}, &out, &errOut); code != 0 {
		t.Fatalf("exit code %d: %s", code, errOut.String())
	}
	for _, want := range patterns {
		if !regexp.MustCompile(want).MatchString(out.String()) {
			t.Errorf("%q is not in\n%s", want, out.String())
		}
	}
	return out.String()
}

func TestLossesWithoutRequestsFail(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "empty.log")
	is.NoErr(os.WriteFile(name, nil, 0o600))
	var out, errOut bytes.Buffer
	is.Equal(Main([]string{"losses", name}, &out, &errOut), 1)
	is.Equal(Main([]string{"losses", name + ".none"}, &out, &errOut), 2)
}

// A command called without its arguments prints its usage and an example.
func TestWrongArgumentsPrintCommandUsage(t *testing.T) {
	is := is.New(t)
	for _, command := range []string{"explain", "losses", "plan", "confirm", "config"} {
		var out, errOut bytes.Buffer
		is.Equal(Main([]string{command}, &out, &errOut), 2)
		if !regexp.MustCompile(`usage: quincectl ` + command + ` .*\n.*example: quincectl .*` + command).MatchString(errOut.String()) {
			t.Errorf("%s: %q", command, errOut.String())
		}
	}
}
