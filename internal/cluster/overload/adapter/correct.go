//go:build !liar

package adapter

import "beechgrade/internal/cluster/overload"

// outgoingReport and outgoingDecisions return what is sent to other poolers: here unchanged. Rehearsals
// build a byzantine pooler with the tag liar.
func outgoingReport(t *overload.LoadReport) *overload.LoadReport          { return t }
func outgoingDecisions(a *overload.ShedDecisions) *overload.ShedDecisions { return a }
