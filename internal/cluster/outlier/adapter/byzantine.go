//go:build liar

package adapter

import (
	"os"

	"beechgrade/internal/cluster/outlier"
	"beechgrade/internal/testkit/byzantine"
)

// outgoingObservations and outgoingAssessments falsify what is sent to other poolers as the variable LIE of the
// environment says: a byzantine pooler for rehearsals.
func outgoingObservations(t *outlier.Observations) *outlier.Observations {
	return byzantine.AlterServers(t, byzantine.ServerFaults[os.Getenv("LIE")])
}

func outgoingAssessments(w *outlier.Assessments) *outlier.Assessments {
	return byzantine.AlterServers(w, byzantine.ServerFaults[os.Getenv("LIE")])
}
