// Package handover exchanges state between processes that share a listening socket, through files in a folder: the state that the next process
// continues with, and the number of descriptors that each process has open while both run.
package handover

import (
	"fmt"
	"math"

	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/storage/atomicfile"
)

const (
	fileKind = "beechgrade handover 1"
	maxBytes = 8 << 20
)

// State is the state that a process hands over. It is stored as JSON.
type State struct {
	SavedMs      float64          `json:"saved_ms"` // Unix ms, for versions of the program without Saved
	Saved        clock.Instant    `json:"saved"`
	ClockMs      float64          `json:"clock_ms"` // the time of saving on the writing process's own clock, which the times in Snapshot refer to
	Descriptors  int              `json:"held"`     // open descriptors
	Ending       bool             `json:"ends"`     // the process is terminating and accepts nothing new
	ListSource   string           `json:"from"`     // the discovery address that List came from
	List         discovery.List   `json:"list"`     // complete, as received last; its generation is 0 if none was received
	ListRestarts int              `json:"anew"`     // how often the source has restarted its generations
	Classes      []string         `json:"classes"`
	Kinds        []string         `json:"kinds"`
	Snapshot     *decide.Snapshot `json:"memory"`

	AgeMs float64 `json:"-"` // when the state was read
}

// Encode appends an encoded state to b.
func Encode(b []byte, state *State) ([]byte, error) {
	b, err := atomicfile.Encode(b, fileKind, state)
	if err != nil {
		return b, fmt.Errorf("handover: %w", err)
	}
	return b, nil
}

// Decode decodes a state. It fails if any part is damaged.
func Decode(b []byte) (*State, error) {
	state := &State{}
	if err := atomicfile.Decode(b, fileKind, state); err != nil {
		return nil, err
	}
	if !state.isValid() {
		return nil, fmt.Errorf("%w: a value is out of bounds", atomicfile.ErrFormat)
	}
	return state, nil
}

func (s *State) isValid() bool {
	inBounds := s.Descriptors >= 0 && s.ListRestarts >= 0 && s.List.Generation >= 0
	return inBounds && s.Snapshot != nil && !math.IsNaN(s.SavedMs)
}
