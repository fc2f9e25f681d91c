//go:build !liar

package adapter

import "beechgrade/internal/cluster/overload"

// outgoingReport and outgoingDecisions return messages to other poolers unchanged. Rehearsals build a byzantine pooler, which falsifies
// them, with the build tag liar.
func outgoingReport(report *overload.LoadReport) *overload.LoadReport             { return report }
func outgoingDecisions(decisions *overload.ShedDecisions) *overload.ShedDecisions { return decisions }
