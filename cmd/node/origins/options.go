package origins

import (
	"time"

	hclog "github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/buildlog"
	"quinceroad/coordination/gossip"
	"quinceroad/coordination/origin"
	"quinceroad/platform"
	"quinceroad/protocol/frame"
)

// Peers makes calls to other instances.
type Peers interface {
	Call(address string, k frame.Kind, request, reply proto.Message, timeout time.Duration) error
}

// Store is the interface of the platform's store that a Keeper uses.
type Store interface {
	Era() uint64
	BuildLogs() (buildlog.Snapshot, error)
	WriteBuildLogs(logs map[string]buildlog.Entry) error
	StreamRecords(shard origin.Shard) ([]origin.Record, error)
	WriteStreamRecords(name string, batches []platform.RecordBatch, lease uint64) error
	GrantRecordsLease() (uint64, error)
}

// Options are what a Keeper uses of its instance.
type Options struct {
	Name        string // of this instance
	Incarnation uint64 // of its process
	Region      string
	Now         func() time.Duration // since the process started; counts suspensions
	Live        func() *gossip.Live
	Peers       Peers
	Store       Store
	Log         hclog.Logger
	Registry    metrics.Registry
	// Wanted returns, for each service to which a resumable route goes, which builds its
	// listed replicas have and which such routes go to it.
	Wanted func() map[string]buildlog.Wanted
	// IsInTouch reports whether this instance hears of all changes of the list of replicas.
	IsInTouch    func() bool
	IsReader     func() bool // this instance reads the store on behalf of others
	StoreRates   StoreRates
	IsFirstStart bool    // the whole system starts for the first time
	Jitter       float64 // 0 to 1, so that instances do not all act at the same moment
}

// StoreRates are the calls a second that the store takes from all instances together.
type StoreRates struct{ Writes, Reads float64 }
