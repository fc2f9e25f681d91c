package cluster

import (
	"fmt"
	"math"
	"net"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/encoding"
)

// Status is a pooler's answer to a status query.
type Status struct {
	Records []view.Record
	Counts  view.Counts
	Avoided []module.AvoidedServer // because other poolers reported them
}

// QueryStatus asks the pooler at an address for everything that it knows of the cluster.
func QueryStatus(addr string, key Key) (Status, error) {
	conn, err := net.DialTimeout("tcp", addr, streamTimeout)
	if err != nil {
		return Status{}, err
	}
	defer func() { _ = conn.Close() }()
	reply, err := Exchange(conn, key, &envelope{Message: view.Message{Kind: kindStatusQuery}})
	if err != nil {
		return Status{}, err
	}
	return Status{Records: reply.Records, Counts: reply.counts, Avoided: reply.avoided}, nil
}

// Bounds of the avoided servers in a status: their number, and the reporters and the time of each.
const (
	maxAvoidedServers   = 1000
	maxAvoidedReporters = 16
	maxAvoidedUntil     = 1e15 // ms
)

// Field numbers of an avoided server.
const (
	fieldAvoidedServer   = 1
	fieldAvoidedReason   = 2
	fieldAvoidedReporter = 3
	fieldAvoidedUntil    = 4
)

// avoidedServers returns the servers that this pooler's modules avoid, at most maxAvoidedServers.
func (node *Node) avoidedServers() (all []module.AvoidedServer) {
	for _, mod := range node.modules {
		if reporter, ok := mod.(module.AvoidedReporter); ok {
			all = append(all, reporter.Avoided()...)
		}
	}
	return all[:min(len(all), maxAvoidedServers)]
}

func appendAvoided(b []byte, server *module.AvoidedServer) []byte {
	b = appendText(b, fieldAvoidedServer, server.Server)
	b = appendText(b, fieldAvoidedReason, server.Reason)
	for _, id := range server.ReportedBy[:min(len(server.ReportedBy), maxAvoidedReporters)] {
		b = appendFixed(b, fieldAvoidedReporter, uint64(id))
	}
	return appendFixed(b, fieldAvoidedUntil, math.Float64bits(server.UntilMs))
}

func decodeAvoided(b []byte) (server module.AvoidedServer, err error) {
	err = encoding.Fields(b, malformed, func(field encoding.Field) error {
		switch field.Number {
		case fieldAvoidedServer:
			server.Server = string(field.Bytes)
		case fieldAvoidedReason:
			server.Reason = string(field.Bytes)
		case fieldAvoidedReporter:
			if len(server.ReportedBy) < maxAvoidedReporters {
				server.ReportedBy = append(server.ReportedBy, view.ID(field.Value))
			}
		case fieldAvoidedUntil:
			server.UntilMs = math.Float64frombits(field.Value)
			if math.IsNaN(server.UntilMs) || math.Abs(server.UntilMs) >= maxAvoidedUntil {
				return fmt.Errorf("%w: an avoided server until %g", ErrMalformed, server.UntilMs)
			}
		}
		return nil
	})
	return server, err
}
