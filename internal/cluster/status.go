package cluster

import (
	"math"
	"net"
	"time"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/encoding"
)

// Status is what a pooler says to those who look.
type Status struct {
	Records []view.Record
	Counts  view.Counts
	Avoided []module.AvoidedServer // by others' word
}

// QueryStatus asks a pooler for all that it knows.
func QueryStatus(addr string, key Key) (Status, error) {
	conn, err := net.DialTimeout("tcp", addr, streamTimeoutMs*time.Millisecond)
	if err != nil {
		return Status{}, err
	}
	defer func() { _ = conn.Close() }()
	message, err := Exchange(conn, key, &envelope{Message: view.Message{Kind: kindStatusQuery}})
	if err != nil {
		return Status{}, err
	}
	return Status{message.Records, message.counts, message.avoided}, nil
}

// maxAvoidedServers and maxAvoidedReporters bound what is told, and read, of what a pooler avoids: servers, and of each those by whose word.
const (
	maxAvoidedServers   = 1000
	maxAvoidedReporters = 16
)

// avoidedServers is what this pooler's parts avoid by others' word, as far as it is told.
func (node *Node) avoidedServers() (all []module.AvoidedServer) {
	for _, mod := range node.modules {
		if a, ok := mod.(module.AvoidedReporter); ok {
			all = append(all, a.Avoided()...)
		}
	}
	return all[:min(len(all), maxAvoidedServers)]
}

func appendAvoided(b []byte, server *module.AvoidedServer) []byte {
	b = appendText(appendText(b, 1, server.Server), 2, server.Reason)
	for _, id := range server.ReportedBy[:min(len(server.ReportedBy), maxAvoidedReporters)] {
		b = appendFixed(b, 3, uint64(id))
	}
	return appendFixed(b, 4, math.Float64bits(server.UntilMs))
}

func decodeAvoided(b []byte) (server module.AvoidedServer, err error) {
	err = encoding.Fields(b, malformed, func(field encoding.Field) error {
		switch field.Number {
		case 1:
			server.Server = string(field.Bytes)
		case 2:
			server.Reason = string(field.Bytes)
		case 3:
			if len(server.ReportedBy) < maxAvoidedReporters {
				server.ReportedBy = append(server.ReportedBy, view.ID(field.Value))
			}
		case 4:
			if server.UntilMs = math.Float64frombits(field.Value); !(math.Abs(server.UntilMs) < 1e15) {
				return ErrMalformed
			}
		}
		return nil
	})
	return server, err
}
