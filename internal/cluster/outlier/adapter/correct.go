//go:build !liar

package adapter

import "beechgrade/internal/cluster/outlier"

// outgoingObservations and outgoingAssessments return messages to other poolers unchanged. Rehearsals build a byzantine pooler, which
// falsifies them, with the build tag liar.
func outgoingObservations(observations *outlier.Observations) *outlier.Observations {
	return observations
}
func outgoingAssessments(assessments *outlier.Assessments) *outlier.Assessments { return assessments }
