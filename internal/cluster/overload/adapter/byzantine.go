//go:build liar

package adapter

import (
	"os"

	"beechgrade/internal/cluster/overload"
	"beechgrade/internal/testkit/byzantine"
)

// outgoingReport and outgoingDecisions falsify what is sent to other poolers as the variable LIE of the
// environment says: a byzantine pooler for rehearsals.
func outgoingReport(t *overload.LoadReport) *overload.LoadReport {
	return byzantine.AlterLoad(t, byzantine.RateFactors[os.Getenv("LIE")])
}

func outgoingDecisions(a *overload.ShedDecisions) *overload.ShedDecisions {
	return byzantine.AlterLoad(a, byzantine.RateFactors[os.Getenv("LIE")])
}
