//go:build !liar

package adapter

import "beechgrade/internal/cluster/outlier"

// outgoingObservations and outgoingAssessments return what is sent to other poolers: here unchanged. Rehearsals
// build a byzantine pooler with the tag liar.
func outgoingObservations(t *outlier.Observations) *outlier.Observations { return t }
func outgoingAssessments(w *outlier.Assessments) *outlier.Assessments    { return w }
