// Package handover is how processes on one listening socket exchange their state, by files in a folder: what the next process goes on with,
// and the descriptors that each holds while there are two.
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

// State is what a process hands over. It is stored as JSON.
type State struct {
	SavedMs      float64          `json:"saved_ms"` // Unix ms, for versions without Saved
	Saved        clock.Instant    `json:"saved"`
	ClockMs      float64          `json:"clock_ms"` // then, on the writing process's own clock, which the times in Snapshot are on
	Descriptors  int              `json:"held"`     // open
	Ending       bool             `json:"ends"`     // it takes nothing new
	ListSource   string           `json:"from"`
	List         discovery.List   `json:"list"` // complete, as received last; of generation 0 where none was
	ListRestarts int              `json:"anew"` // how often the source has begun its generations anew
	Classes      []string         `json:"classes"`
	Kinds        []string         `json:"kinds"`
	Snapshot     *decide.Snapshot `json:"memory"`

	AgeMs float64 `json:"-"` // when it was read
}

// Encode appends a state.
func Encode(b []byte, state *State) ([]byte, error) {
	b, err := atomicfile.Encode(b, fileKind, state)
	if err != nil {
		return b, fmt.Errorf("handover: %w", err)
	}
	return b, nil
}

// Decode decodes a state, all of it or nothing.
func Decode(b []byte) (*State, error) {
	state := &State{}
	if err := atomicfile.Decode(b, fileKind, state); err != nil {
		return nil, err
	}
	if !state.isValid() {
		return nil, fmt.Errorf("%w: a value is out of its bounds", atomicfile.ErrFormat)
	}
	return state, nil
}

func (s *State) isValid() bool {
	inBounds := s.Descriptors >= 0 && s.ListRestarts >= 0 && s.List.Generation >= 0
	return inBounds && s.Snapshot != nil && !math.IsNaN(s.SavedMs)
}
