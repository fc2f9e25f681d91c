package modelcheck

import (
	"fmt"

	"beechgrade/internal/cluster/outlier"
)

// Evidence is a process whose outlier detector receives messages about the state of servers, in any order and up to Duplicates of them
// twice.
type Evidence struct {
	Settings   outlier.Settings
	Members    outlier.MembersChanged
	Servers    []outlier.Server
	Messages   []outlier.Received
	Duplicates int // how many messages may be received twice

	received []int // indices of messages, in the order of receipt
	detector *outlier.Detector
	expected string // outcome of all messages when they are received in the order of Messages
}

// eventTime is the time of all events.
const eventTime = 1e6

// Start returns the state before any message.
func (e *Evidence) Start() *Evidence {
	var all []int
	for i := range e.Messages {
		all = append(all, i)
	}
	e.expected = e.after(all).outcome()
	return e.after(nil)
}

// after returns the state of a new process that has received the messages with these indices.
func (e *Evidence) after(order []int) *Evidence {
	next := *e
	next.received, next.detector = order, outlier.New(e.Settings, e.Members.Self, eventTime)
	next.detector.Handle(eventTime, e.Members, nil)
	next.detector.Handle(eventTime, outlier.ServersListed{Servers: e.Servers}, nil)
	for _, i := range order {
		next.detector.Handle(eventTime, e.Messages[i], nil)
	}
	return &next
}

// outcome describes the process's assessments as a collector, and its ejections.
func (e *Evidence) outcome() string {
	return fmt.Sprintf("%+v %+v", e.detector.Assessments(), e.detector.Ejections())
}

// receiveCounts returns how often each message was received, and how many were received twice.
func (e *Evidence) receiveCounts() (counts []int, duplicates int) {
	counts = make([]int, len(e.Messages))
	for _, i := range e.received {
		if counts[i]++; counts[i] == 2 {
			duplicates++
		}
	}
	return counts, duplicates
}

// Key implements System.
func (e *Evidence) Key() string {
	counts, _ := e.receiveCounts()
	return fmt.Sprint(counts, e.outcome())
}

// Moves implements System.
func (e *Evidence) Moves() (out []Move) {
	counts, duplicates := e.receiveCounts()
	for i := range e.Messages {
		if counts[i] == 0 || counts[i] == 1 && duplicates < e.Duplicates {
			out = append(out, Move{fmt.Sprintf("receive message %d", i), func() (System, error) { return e.after(append(append([]int(nil), e.received...), i)), nil }})
		}
	}
	return out
}

// Check implements System: the outcome does not depend on the order of messages, and no server is ejected on the reports of a single
// observer.
func (e *Evidence) Check() error {
	counts, _ := e.receiveCounts()
	all := true
	observers := map[outlier.ID]bool{}
	for i := range e.Messages {
		if all = all && counts[i] > 0; counts[i] > 0 {
			observers[e.Messages[i].From] = true
		}
	}
	if len(observers) < 2 && len(e.detector.Ejections()) > 0 {
		return fmt.Errorf("servers ejected on the reports of a single observer: %+v", e.detector.Ejections())
	}
	if got := e.outcome(); all && got != e.expected {
		return fmt.Errorf("outcome of all messages is %s; received in the order of Messages they lead to %s", got, e.expected)
	}
	return nil
}
