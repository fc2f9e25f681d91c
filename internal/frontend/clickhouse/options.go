package clickhouse

import "beechgrade/internal/frontend/clickhouse/limits"

// Options are the settings of the frontend, and what it takes from the pooler.
type Options struct {
	Name  string // of the pooler; part of the IDs of queries that come without one
	Group int    // the group of servers that speak ClickHouse's protocol

	MaxBufferedBytes int        // of a request's body; the body of a longer one is passed on as it comes, and is never retried
	MaxBodyBytes     int64      // a request with a longer body is rejected; 0 for any length
	MemoryBytes      func() int // the pooler's memory; clients' requests may take a part of it
	SpareDescriptors func() int // connections that may be opened

	DeadlineMs           float64 // of a query that matches no rule
	DeadlineHeader       string  // the field of a request by which a client shortens its deadline, in ms; empty for none
	UploadTimeoutMs      float64 // a body that is passed on may take so long, besides the deadline
	RequestTimeoutMs     float64 // a request must arrive in full within it
	ServerIdleTimeoutMs  float64 // a server may pause so long within an answer
	ClientStallTimeoutMs float64 // a client may take nothing of an answer for so long
	ConnectTimeoutMs     float64 // of a connection to a server
	ConnectionIdleMs     float64 // a connection to a server that is idle for longer is closed
	ClientIdleMs         float64 // a client that is idle for longer is disconnected
	DrainGraceMs         float64 // after a server was reported as draining, it may receive KILL QUERY for so long

	Rules          []Rule  // the first that matches a query applies
	MaxStalenessMs float64 // of the data that a read that matches no rule sees, 0 for any
	CheckStaleness bool    // a server is asked for its staleness before each read that bounds it
	KillQueries    bool    // KILL QUERY is sent for a query whose connection is closed

	MaxSessions   int
	UserLimits    map[string]limits.Limits
	DefaultLimits limits.Limits // of the users that are not in UserLimits
	ExpireLeases  func()        // removes allowances whose leases have expired; nil for none
}
