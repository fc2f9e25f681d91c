//go:build liar

package adapter

import (
	"os"

	"beechgrade/internal/cluster/overload"
	"beechgrade/internal/testkit/byzantine"
)

// A program with the tag liar lies as LIE in its environment has it; rehearsals build it.
func told(t *overload.Tell) *overload.Tell { return byzantine.Of(t, byzantine.Times[os.Getenv("LIE")]) }
func answered(a *overload.Answer) *overload.Answer {
	return byzantine.Of(a, byzantine.Times[os.Getenv("LIE")])
}
