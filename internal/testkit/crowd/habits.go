package crowd

import (
	"fmt"
	"strings"
	"time"

	"beechgrade/internal/protocol/pgwire"
)

// Sizes in which habits read.
const (
	readsFast   = 1 << 16
	readsSlowly = 1 << 10
	readsTiny   = 64
)

const (
	tinyReadPause = 100 * time.Millisecond
	piecePause    = 50 * time.Millisecond
	requestWaitMs = 1900 // that the clients of a crowd wait for an answer
)

// Prefixes of the ids of requests by which a stand-in server recognises those with long answers.
const (
	LongAnswerPrefix   = "long" // an answer that is streamed
	MediumAnswerPrefix = "medium"
	MediumAnswerBytes  = 60 << 10 // of an answer to a request with MediumAnswerPrefix
)

// Startup returns the startup message of the platform's clients.
func Startup() []byte { return pgwire.AppendStartup(nil, "backend", "store") }

// PooledStartup returns the startup message of the pooling frontend's clients.
func PooledStartup() []byte { return pgwire.AppendStartup(nil, "app", "app") }

// Read returns the message of a read.
func Read(id string) []byte {
	statement := "SELECT content FROM kv WHERE name = 'k' /* id=%s,c=read,d=%d,cluster=0 */"
	return pgwire.AppendQuery(nil, fmt.Sprintf(statement, id, requestWaitMs))
}

// Write returns the message of a write of a value with so many bytes.
func Write(id string, bytes int) []byte {
	return pgwire.AppendQuery(nil, "INSERT INTO kv (name, content) VALUES ('k', '\\x", strings.Repeat("61", bytes),
		"') RETURNING content /* id="+id+fmt.Sprintf(",c=write,d=%d,cluster=0 */", requestWaitMs))
}

// always returns the same message for each connection.
func always(message []byte) Message { return func(int, int) []byte { return message } }

// partOf returns the first bytes of a write of a value with valueBytes.
func partOf(valueBytes, sent int) Message { return always(Write("crowd", valueBytes)[:sent]) }

// reads returns count reads whose ids begin with prefix.
func reads(prefix string, count int) Message {
	return func(client, connection int) (message []byte) {
		for i := range count {
			message = append(message, Read(fmt.Sprintf("%s-%d-%d-%d", prefix, client, connection, i))...)
		}
		return message
	}
}

// writesAhead returns count writes of a value.
func writesAhead(count, valueBytes int) Message {
	return func(client, connection int) (message []byte) {
		for i := range count {
			message = append(message, Write(fmt.Sprintf("ahead-%d-%d-%d", client, connection, i), valueBytes)...)
		}
		return message
	}
}

// PlatformHabits returns the habits of crowds of the platform's clients.
func PlatformHabits() []Habit {
	startup := Startup()
	const pipelined, pipelinedBytes = 30, 1 << 10 // 2 KB each, in hex
	return []Habit{
		{Name: "half of 4 MB", Startup: startup, Message: partOf(4<<20, 4<<20), ReadBytes: readsFast},
		{Name: "half of 200 KB", Startup: startup, Message: partOf(100<<10, 150<<10), ReadBytes: readsFast},
		{Name: "half of 20 KB", Startup: startup, Message: partOf(20<<10, 30<<10), ReadBytes: readsFast},
		{Name: "half of a startup message", Message: always(pgwire.AppendStartup(nil, strings.Repeat("u", 9000), "store")[:8000]), ReadBytes: readsFast},
		{Name: "long answers read slowly", Startup: startup, Message: reads(LongAnswerPrefix, 1), ReadBytes: readsSlowly},
		{Name: "medium answers read slowly", Startup: startup, Message: reads(MediumAnswerPrefix, 16), ReadBytes: readsSlowly, ReadPause: tinyReadPause},
		{Name: "pipelined writes", Startup: startup, Message: writesAhead(pipelined, pipelinedBytes), ReadBytes: readsTiny, ReadPause: tinyReadPause},
		{Name: "100 KB written slowly", Startup: startup, Message: writesAhead(1, 50<<10), PieceBytes: 4 << 10, PiecePause: piecePause, ReadBytes: readsFast},
	}
}

// PipelineHabits returns the habits of crowds of the platform's clients that send several reads of long answers at once.
func PipelineHabits() []Habit {
	const pipelined = 4
	return []Habit{
		{Name: "long answers with more behind, read", Startup: Startup(), Message: reads(LongAnswerPrefix, pipelined), ReadBytes: readsFast},
		{Name: "long answers with more behind, read slowly", Startup: Startup(), Message: reads(LongAnswerPrefix, pipelined), ReadBytes: readsSlowly},
	}
}

// PoolingHabits returns the habits of crowds of the pooling frontend's clients.
func PoolingHabits() []Habit {
	startup := PooledStartup()
	longRead := func(client, connection int) []byte {
		return pgwire.AppendQuery(nil, fmt.Sprintf("SELECT 1 /* id=%s-%d-%d */", LongAnswerPrefix, client, connection))
	}
	return []Habit{
		{Name: "pooling: half of 1 MB", Startup: startup, Message: partOf(400<<10, 600<<10), ReadBytes: readsFast},
		{Name: "pooling: half of 200 KB", Startup: startup, Message: partOf(100<<10, 150<<10), ReadBytes: readsFast},
		{Name: "pooling: more than a message may have", Startup: startup, Message: partOf(4<<20, 4<<20), ReadBytes: readsFast},
		{Name: "pooling: long answers read slowly", Startup: startup, Message: longRead, ReadBytes: readsSlowly},
	}
}

// ClickHouseHabits returns the habits of crowds of the ClickHouse frontend's clients.
func ClickHouseHabits() []Habit {
	const fields, bodyBytes = 10000, 2 << 20
	head := "GET /?query=SELECT+1 HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:b\r\n", fields)
	post := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4194304\r\n\r\n" + strings.Repeat("v", bodyBytes)
	return []Habit{
		{Name: "clickhouse: heads of short fields", Message: always([]byte(head)), ReadBytes: readsFast},
		{Name: "clickhouse: half of 4 MB", Message: always([]byte(post)), ReadBytes: readsFast},
	}
}
