package simulation

import (
	"beechgrade/internal/cluster/outlier"
	"beechgrade/internal/testkit/checker"
)

// OutlierMutants returns mutants with deliberate errors in shared outlier detection.
func OutlierMutants() []Mutant {
	return []Mutant{
		{
			Name:            "positions are not aged",
			Breaks:          checker.NotStale,
			OutlierSettings: func(_ int, s *outlier.Settings) { s.Fault = outlier.PositionsNotAged },
		},
		{
			Name:            "one word is enough",
			Breaks:          checker.NoBlackout,
			OutlierSettings: func(_ int, s *outlier.Settings) { s.Fault = outlier.SingleObserver },
		},
		{
			Name:            "age is taken from when it was heard",
			Breaks:          checker.NoBlackout,
			OutlierSettings: func(_ int, s *outlier.Settings) { s.Fault = outlier.AgeFromReceipt },
		},
		{
			Name:            "own evidence is overruled by others' older",
			Breaks:          checker.NoBlackout,
			OutlierSettings: func(_ int, s *outlier.Settings) { s.Fault = outlier.IgnoresOwnEvidence },
		},
		{Name: "evidence of the old process is kept", Breaks: checker.NoBlackout, OutlierSettings: func(_ int, s *outlier.Settings) { s.Fault = outlier.KeepsOldEvidence }},
	}
}
