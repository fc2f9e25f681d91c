package clickhouse

import (
	"beechgrade/internal/frontend/clickhouse/limits"
	"beechgrade/internal/memory"
)

// Options are the settings of the frontend and its dependencies on the pooler.
type Options struct {
	Name  string // of the pooler; part of the query IDs that the pooler assigns
	Group int    // the group of servers that speak ClickHouse's protocol

	MaxBufferedBytes int             // of a request's body; a longer body is streamed, and its request is never retried
	MaxBodyBytes     int64           // a request with a longer body is rejected; 0 for any length
	Account          *memory.Account // of the process's memory
	SpareDescriptors func() int      // number of connections that may still be opened

	DeadlineMs           float64 // of a query that matches no rule
	DeadlineHeader       string  // name of the header by which a client shortens its deadline, in ms; empty for none
	UploadTimeoutMs      float64 // added to the deadline of a request whose body is streamed
	RequestTimeoutMs     float64 // longest time for a request to arrive in full, and longest pause within a streamed body
	ServerIdleTimeoutMs  float64 // longest pause of a server within an answer
	ClientStallTimeoutMs float64 // longest time in which a client reads nothing of an answer
	ConnectTimeoutMs     float64 // for opening a connection to a server
	ConnectionIdleMs     float64 // a connection to a server that is idle for longer is closed
	ClientIdleMs         float64 // a client that is idle for longer is disconnected
	DrainGraceMs         float64 // for this long after a server was reported as draining, it may receive KILL QUERY

	Rules          []Rule  // the first rule that matches a query applies
	MaxStalenessMs float64 // bound on the staleness of the data for reads that match no rule, 0 for none
	CheckStaleness bool    // request a server's staleness before each read whose staleness is bounded
	KillQueries    bool    // send KILL QUERY for a query whose server connection the pooler closes

	MaxSessions   int
	UserLimits    map[string]limits.Limits
	DefaultLimits limits.Limits // of users that are not in UserLimits
	ExpireLeases  func()        // removes allowances whose leases have expired; nil for none
}
