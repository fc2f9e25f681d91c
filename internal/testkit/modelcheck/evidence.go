package modelcheck

import (
	"fmt"

	"beechgrade/internal/cluster/outlier"
)

// Evidence are the messages on servers' state that a process receives, in any order, of which Duplicates come twice.
type Evidence struct {
	Settings   outlier.Settings
	Members    outlier.MembersChanged
	Servers    []outlier.Server
	Messages   []outlier.Received
	Duplicates int

	received []int // in their order
	detector *outlier.Detector
	expected string // what is made of all of them, heard in their order
}

// evidenceAt is the time of all events.
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

func (e *Evidence) after(order []int) *Evidence {
	x := *e
	x.received, x.detector = order, outlier.New(e.Settings, e.Members.Self, eventTime)
	x.detector.Handle(eventTime, e.Members, nil)
	x.detector.Handle(eventTime, outlier.ServersListed{Servers: e.Servers}, nil)
	for _, i := range order {
		x.detector.Handle(eventTime, e.Messages[i], nil)
	}
	return &x
}

// outcome describes the process's assessments as a collector, and its ejections.
func (e *Evidence) outcome() string {
	return fmt.Sprintf("%+v %+v", e.detector.Assessments(), e.detector.Ejections())
}

func (e *Evidence) receiveCounts() (n []int, duplicates int) {
	n = make([]int, len(e.Messages))
	for _, i := range e.received {
		if n[i]++; n[i] == 2 {
			duplicates++
		}
	}
	return n, duplicates
}

// Key implements System.
func (e *Evidence) Key() string { n, _ := e.receiveCounts(); return fmt.Sprint(n, e.outcome()) }

// Moves implements System.
func (e *Evidence) Moves() (out []Move) {
	n, duplicates := e.receiveCounts()
	for i := range e.Messages {
		if n[i] == 0 || n[i] == 1 && duplicates < e.Duplicates {
			out = append(out, Move{fmt.Sprintf("word %d", i), func() (System, error) { return e.after(append(append([]int(nil), e.received...), i)), nil }})
		}
	}
	return out
}

// Check implements System: the outcome does not depend on the order of messages, and no server is ejected by a single observer's report.
func (e *Evidence) Check() error {
	n, _ := e.receiveCounts()
	all := true
	observers := map[outlier.ID]bool{}
	for i := range e.Messages {
		if all = all && n[i] > 0; n[i] > 0 {
			observers[e.Messages[i].From] = true
		}
	}
	if len(observers) < 2 && len(e.detector.Ejections()) > 0 {
		return fmt.Errorf("by one alone: %+v", e.detector.Ejections())
	}
	if got := e.outcome(); all && got != e.expected {
		return fmt.Errorf("%s is made of it, and of the words in their order %s", got, e.expected)
	}
	return nil
}
