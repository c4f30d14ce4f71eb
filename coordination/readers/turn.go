package readers

import (
	"time"

	"quinceroad/coordination/gossip"
)

// minWatch is the shortest watch: one that would end sooner after another has just ended is left
// out.
const minWatch = 100 * time.Millisecond

// Turn is an instance's place among those that read the store.
type Turn struct {
	Rank  int // from 0
	Count int
}

// TurnOf returns the place of an instance among the live ones that say that they read the store
// and can reach it.
func TurnOf(name string, alive []gossip.Instance) Turn {
	t := Turn{Count: 1}
	for n := range alive {
		i := &alive[n]
		if i.Name == name || !i.IsReader || i.StoreUnreachable {
			continue
		}
		t.Count++
		if i.Name < name {
			t.Rank++
		}
	}
	return t
}

// WatchTime returns how long a watch that begins now lasts, so that in each span within the watch
// of some reader ends, also while one of them is away. What one finds out it tells the others, so
// the more readers there are, the longer each may wait, up to longest. Their watches end in turn,
// counted from the last change, which all of them saw at about the same time.
func (t Turn) WatchTime(now, lastChange, within, longest time.Duration) time.Duration {
	cycle := within
	if t.Count > 1 {
		cycle = min(within*time.Duration(t.Count)/2, max(longest, within))
	}
	offset := cycle * time.Duration(t.Rank+1) / time.Duration(t.Count)
	sinceTurn := (now - lastChange - offset) % cycle
	if sinceTurn < 0 {
		sinceTurn += cycle
	}
	wait := cycle - sinceTurn
	if wait < min(minWatch, cycle/2) {
		wait += cycle
	}
	return wait
}
