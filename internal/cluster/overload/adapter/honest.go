//go:build !liar

package adapter

import "beechgrade/internal/cluster/overload"

// outgoingReport and answered are what is said in truth; rehearsals build a program that lies with the tag liar.
func outgoingReport(t *overload.LoadReport) *overload.LoadReport          { return t }
func outgoingDecisions(a *overload.ShedDecisions) *overload.ShedDecisions { return a }
