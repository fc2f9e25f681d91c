//go:build liar

package adapter

import (
	"os"

	"beechgrade/internal/cluster/overload"
	"beechgrade/internal/testkit/byzantine"
)

// outgoingReport and outgoingDecisions falsify messages to other poolers, as selected by the environment variable LIE. This makes the
// process a byzantine pooler, for rehearsals.
func outgoingReport(report *overload.LoadReport) *overload.LoadReport {
	return byzantine.AlterLoad(report, byzantine.RateFactors[os.Getenv("LIE")])
}

func outgoingDecisions(decisions *overload.ShedDecisions) *overload.ShedDecisions {
	return byzantine.AlterLoad(decisions, byzantine.RateFactors[os.Getenv("LIE")])
}
