package emulate

import (
	"beechgrade/internal/kit/check"
	"beechgrade/internal/peers/verdicts"
)

// VerdictMutants are poolers that share what they know of servers in a way that is broken on purpose.
func VerdictMutants() []Mutant {
	return []Mutant{
		{Name: "positions are not aged", Breaks: check.NotStale, Verdicts: func(_ int, s *verdicts.Settings) { s.Broken = verdicts.NotAged }},
		{Name: "one word is enough", Breaks: check.NoBlackout, Verdicts: func(_ int, s *verdicts.Settings) { s.Broken = verdicts.OneEnough }},
		{Name: "age is taken from when it was heard", Breaks: check.NoBlackout, Verdicts: func(_ int, s *verdicts.Settings) { s.Broken = verdicts.HeardAge }},
		{Name: "own evidence is overruled by others' older", Breaks: check.NoBlackout, Verdicts: func(_ int, s *verdicts.Settings) { s.Broken = verdicts.OwnLoses }},
		{Name: "evidence of the old process is kept", Breaks: check.NoBlackout, Verdicts: func(_ int, s *verdicts.Settings) { s.Broken = verdicts.KeepsOld }},
	}
}
