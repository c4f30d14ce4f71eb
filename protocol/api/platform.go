package api

// The platform's protocol: GET and PUT /v1/kv/KEY, GET /v1/watch/KEY,
// GET /v1/instances.

// KV is a key's value and version; version 0 means that the key does not exist.
type KV struct {
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// KVPut writes a key if its version still is IfVersion.
type KVPut struct {
	Value     []byte `json:"value"`
	IfVersion uint64 `json:"if_version"`
	LeaseMS   int64  `json:"lease_ms,omitempty"` // the key expires after this time unless it is written again
}

// ListedReplica is one replica in the platform's list.
type ListedReplica struct {
	ID           string `json:"id"`
	Service      string `json:"service"`
	Hall         string `json:"hall"`
	Address      string `json:"address"`
	Incarnation  uint64 `json:"incarnation"`
	Leaving      bool   `json:"leaving"`
	ChecksFences bool   `json:"checks_fences"`
}

// Execution is one line of a stand-in upstream's journal.
type Execution struct {
	Replica string `json:"replica"`
	Service string `json:"service"`
	Request string `json:"request"`
	Stage   string `json:"stage"`
	Attempt int    `json:"attempt"`
	Op      string `json:"op"`
	Digest  string `json:"digest"` // of the input
	StartUS int64  `json:"start_us"`
	EndUS   int64  `json:"end_us"`  // 0 while it runs or was cancelled
	FreeUS  int64  `json:"free_us"` // when its slot became free; 0 while it runs
	Output  string `json:"output_digest"`
}

// LoadReport is a replica's load, reported by itself.
type LoadReport struct {
	ID      string `json:"id"`
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
}

// Order instructs a model engine which model to serve: POST /v1/orders with
// HeaderFence. An engine that checks fencing tokens answers 412 if the token is
// lower than one that it has obeyed.
type Order struct {
	Model string `json:"model"` // NAME@VERSION
}

// OrderRecord is one line of a stand-in engine's journal of orders.
type OrderRecord struct {
	Replica string `json:"replica"`
	Fence   uint64 `json:"fence"`
	Model   string `json:"model"`
	Obeyed  bool   `json:"obeyed"`
	AtUS    int64  `json:"at_us"`
}
