package cells

import (
	"fmt"
	"testing"
)

// benchmarkCell is the usual number of replicas of a service in a cell.
const benchmarkCell = 30

// BenchmarkAssign measures the change of one replica of a service: it leaves and comes back.
func BenchmarkAssign(b *testing.B) {
	for _, replicas := range []int{1400, 11200} {
		b.Run(fmt.Sprint("replicas=", replicas), func(b *testing.B) {
			list := ids(replicas)
			a := NewAssignment(list, replicas/benchmarkCell)
			a.TakeMoved()
			moved, n := 0, 0
			for b.Loop() {
				id := list[n*7919%len(list)]
				n++
				a.Remove(id)
				a.Add(id)
				moved += len(a.TakeMoved())
			}
			b.ReportMetric(float64(moved)/float64(n), "moved/op")
		})
	}
}
