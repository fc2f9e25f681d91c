//go:build liar

package adapter

import (
	"os"

	"beechgrade/internal/cluster/outlier"
	"beechgrade/internal/testkit/byzantine"
)

// A program with the tag liar lies of servers as LIE in its environment has it; rehearsals build it.
func outgoingObservations(t *outlier.Observations) *outlier.Observations {
	return byzantine.Said(t, byzantine.OfServers[os.Getenv("LIE")])
}
func outgoingAssessments(w *outlier.Assessments) *outlier.Assessments {
	return byzantine.Said(w, byzantine.OfServers[os.Getenv("LIE")])
}
