package gossip

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Instance is the entry that an instance announces about itself.
type Instance struct {
	Name             string
	Hall             string
	Region           string   // region of the hall; "": unknown
	Incarnation      uint64   // increases with every start
	HeartbeatCount   uint64   `json:"Count"` // heartbeats sent in this incarnation
	Leaving          bool     // a planned shutdown has begun
	ClientAddress    string   `json:"Front"`      // IP:port for clients
	PeerAddress      string   `json:"Link"`       // IP:port for connections from peers
	HeartbeatAddress string   `json:"Datagram"`   // IP:port for heartbeats
	ConfigVersion    uint64   `json:"Configured"` // version of the configuration in force
	OwnedCells       []uint32 `json:"Owns"`       // cells that the instance owns
	CPUShare         uint32   `json:"Share"`      // share of a processor, in thousandths
	IsReader         bool     `json:"Reads"`      // watches the store on behalf of its hall
	StoreUnreachable bool     `json:"Blind"`      // its last attempt to reach the store failed
	Level            uint32   // feature level of its build, see package featurelevel; 0: not announced

	HeartbeatAge time.Duration `json:"Age"` // in messages: time since the counter last increased, as seen by the sender
}

const (
	settledHeartbeats = 8 // heartbeats after which an instance counts as settled
	cpuShareSteps     = 4 // granularity of the ranking by CPU share
)

// CPURankCount is the number of distinct ranks that CPURank returns.
const CPURankCount = cpuShareSteps + 1

// Settled reports whether the instance has run long enough to be relied on.
func (i *Instance) Settled() bool { return i.HeartbeatCount >= settledHeartbeats }

// CPURank returns a function that ranks instances by their CPU share: rank 0 has
// about the largest share of the given instances.
func CPURank(all []*Instance) func(*Instance) int {
	largest := uint32(1)
	for _, i := range all {
		largest = max(largest, i.CPUShare)
	}
	return func(i *Instance) int { return cpuShareSteps - int(i.CPUShare*cpuShareSteps/largest) }
}

// Key returns a short hash that identifies an incarnation within a view.
func (i *Instance) Key() uint32 {
	return uint32(xxhash.Sum64String(i.Name + "/" + strconv.FormatUint(i.Incarnation, 36)))
}
