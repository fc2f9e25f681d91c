//go:build liar

package adapter

import (
	"os"

	"beechgrade/internal/cluster/outlier"
	"beechgrade/internal/testkit/byzantine"
)

// outgoingObservations and outgoingAssessments falsify messages to other poolers, as selected by the environment variable LIE. This makes
// the process a byzantine pooler, for rehearsals.
func outgoingObservations(observations *outlier.Observations) *outlier.Observations {
	return byzantine.AlterServers(observations, byzantine.ServerFaults[os.Getenv("LIE")])
}

func outgoingAssessments(assessments *outlier.Assessments) *outlier.Assessments {
	return byzantine.AlterServers(assessments, byzantine.ServerFaults[os.Getenv("LIE")])
}
