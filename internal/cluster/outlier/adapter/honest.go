//go:build !liar

package adapter

import "beechgrade/internal/cluster/outlier"

// outgoingObservations and said are what is told in truth; rehearsals build a program that lies with the tag liar.
func outgoingObservations(t *outlier.Observations) *outlier.Observations { return t }
func outgoingAssessments(w *outlier.Assessments) *outlier.Assessments    { return w }
