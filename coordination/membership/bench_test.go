package membership

import (
	"fmt"
	"testing"
)

// BenchmarkMerge measures the merge of one changed member into a view.
func BenchmarkMerge(b *testing.B) {
	for _, n := range []int{8, 390, 3900} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			v := New(member("self", 1))
			for i := range n {
				v.Merge(0, member(fmt.Sprint("m", i), 1))
			}
			m := member("m3", 1)
			b.ReportAllocs()
			for b.Loop() {
				m.Seq++
				v.Merge(0, m)
			}
		})
	}
}
