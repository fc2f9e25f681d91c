// Package memory keeps the one account of the memory that a process holds for others: connections, their input, statements, requests, and answers
// that are queued, unsent or being received.
//
// Its inputs are the bytes that holders allocate and release, the limit, and the level that the resident memory requires; its outputs are whether
// more may be held, and the level of overload, by which holders hold back, reject or end work. The sum of all that is admitted stays below the
// limit, whatever its kind and whichever frontend holds it. The package has no I/O and no clock, and belongs to the event loop.
package memory

import "strings"

// Kind is what memory is held for.
type Kind int

// The kinds. Their order is that of the metrics.
const (
	Connections   Kind = iota // the state of clients' connections, with the small buffers that each may hold without asking
	Input                     // received from clients and not handled
	Statements                // of open requests, with the requests themselves
	Answers                   // queued for clients, or not accepted by their sockets
	ServerAnswers             // being received from servers
	Kinds
)

// String returns the kind's name in the log and the metrics.
func (kind Kind) String() string {
	return [...]string{"connections", "input", "statements", "answers", "server_answers"}[kind]
}

// Level is a level of overload. Each includes the measures of those before it.
type Level int

// The levels, in the order in which they are reached.
const (
	Normal            Level = iota
	HoldReading             // input of clients that hold more than a little is left in their sockets
	RejectWork              // new requests of such clients are rejected
	RefuseConnections       // new connections are refused
	EndLargest              // the clients that hold most have to release memory, or are disconnected
	Levels
)

// String returns the level's name in the log.
func (level Level) String() string {
	return [...]string{"normal", "hold reading", "reject work", "refuse connections", "end largest"}[level]
}

// Name returns the level's name in the metrics.
func (level Level) Name() string { return strings.ReplaceAll(level.String(), " ", "_") }

// percentOfLimit is how much of the limit is held when each level begins.
var percentOfLimit = [Levels]int{0, 50, 70, 85, 95}

// sharePart is the part of the limit that is divided among all clients: none that holds less than its share is affected by what others hold.
const sharePart = 8

// Bounds of the output that may wait for one client.
const (
	windowPart = 8       // of the limit, for the output of all clients
	minWindow  = 4 << 10 // bytes
	maxWindow  = 256 << 10
)

// Account is the account of a process. The zero value has no limit yet, and admits nothing.
type Account struct {
	limit    int
	held     [Kinds]int
	total    int
	required Level // by the resident memory
	clients  int
	holders  []Holder
	changes  changes
}

// changes are the changes of the account since its owner last looked at the resident memory.
type changes struct {
	bytes    int // added and released
	reported bool
	report   func()
}

// changesPart is the part of the limit by which the account changes before that is reported.
const changesPart = 32

// OnChange has a function called once when the account has changed so much that the resident memory may have changed too, until the next call of
// ResetChanges.
func (a *Account) OnChange(report func()) { a.changes.report = report }

// ResetChanges has later changes reported again.
func (a *Account) ResetChanges() {
	a.changes.bytes = 0
	a.changes.reported = false
}

// note counts a change, and reports it where that is due.
func (a *Account) note(bytes int) {
	a.changes.bytes += max(bytes, -bytes)
	if a.changes.reported || a.changes.report == nil || a.changes.bytes <= a.limit/changesPart {
		return
	}
	a.changes.reported = true
	a.changes.report()
}

// Holder is a part of the process whose clients can be made to release memory.
type Holder interface {
	// Largest returns how many bytes the client that holds most can release, and the function that makes it do so.
	Largest() (bytes int, release func())
}

// SetLimit sets the number of bytes that may be held.
func (a *Account) SetLimit(bytes int) { a.limit = max(0, bytes) }

// Limit returns the number of bytes that may be held.
func (a *Account) Limit() int { return a.limit }

// Require sets the level that holds at least, whatever the account says.
func (a *Account) Require(level Level) { a.required = level }

// Required returns the level that was set by Require.
func (a *Account) Required() Level { return a.required }

// Add adds bytes that are held; a negative number is released.
func (a *Account) Add(kind Kind, bytes int) {
	a.held[kind] += bytes
	a.total += bytes
	a.note(bytes)
}

// AddClients adds to the number of clients, among which shares are divided.
func (a *Account) AddClients(count int) { a.clients += count }

// Held returns the bytes of a kind.
func (a *Account) Held(kind Kind) int { return a.held[kind] }

// Total returns the bytes of all kinds.
func (a *Account) Total() int { return a.total }

// threshold returns the bytes at which a level begins.
func (a *Account) threshold(level Level) int { return a.limit / 100 * percentOfLimit[level] }

// Level returns the present level.
func (a *Account) Level() Level {
	level := a.required
	for next := level + 1; next < Levels && a.total >= a.threshold(next); next++ {
		level = next
	}
	return level
}

// Admits reports whether bytes more can be held before a level is reached.
func (a *Account) Admits(bytes int, before Level) bool {
	return a.required < before && a.total+bytes < a.threshold(before)
}

// CouldAdmit reports whether so many bytes can be held when nothing else is.
func (a *Account) CouldAdmit(bytes int) bool { return bytes < a.threshold(EndLargest) }

// Share returns how many bytes each client may hold whatever the others do.
func (a *Account) Share() int { return a.limit / sharePart / max(1, a.clients) }

// Window returns how many bytes of output may wait for each of a number of clients, before the source of the output has to wait.
func (a *Account) Window(clients int) int {
	return max(minWindow, min(maxWindow, a.limit/windowPart/max(1, clients)))
}

// AddHolder makes a part of the process release memory when it has to.
func (a *Account) AddHolder(holder Holder) { a.holders = append(a.holders, holder) }

// Reclaim has the clients that hold most release memory, while the level is EndLargest. It reports whether any did.
func (a *Account) Reclaim() (released bool) {
	for range maxReclaimed {
		if a.Level() < EndLargest {
			return released
		}
		if !a.releaseLargest(0) {
			return released
		}
		released = true
	}
	return released
}

// MakeRoom reports whether there is room for a client that holds little: the level is below the given one, or only the resident memory requires
// it, which such a client hardly adds to. Otherwise it has the client that holds most release memory, if that can be more than some bytes, and
// reports whether it did.
func (a *Account) MakeRoom(level Level, moreThan int) bool {
	if a.Level() < level || a.total < a.threshold(HoldReading) {
		return true
	}
	return a.releaseLargest(moreThan)
}

// releaseLargest has the client that holds most release memory, if that can be more than some bytes, and reports whether it did.
func (a *Account) releaseLargest(moreThan int) bool {
	largest, release := moreThan, func() {}
	for _, holder := range a.holders {
		if bytes, f := holder.Largest(); bytes > largest {
			largest, release = bytes, f
		}
	}
	if largest == moreThan {
		return false
	}
	release()
	return true
}

// maxReclaimed bounds the clients that release memory in one call of Reclaim, as each looks at all clients.
const maxReclaimed = 16

// Charge is what one holder holds of a kind. The zero value holds nothing.
type Charge struct{ bytes int }

// Set changes what is held.
func (c *Charge) Set(account *Account, kind Kind, bytes int) {
	account.Add(kind, bytes-c.bytes)
	c.bytes = bytes
}

// Bytes returns what is held.
func (c *Charge) Bytes() int { return c.bytes }
