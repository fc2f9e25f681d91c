//go:build liar

package joined

import (
	"os"

	"beechgrade/internal/cluster/overload"
	"beechgrade/internal/testkit/byzantine"
)

// A program with the tag liar lies as LIE in its environment has it; rehearsals build it.
func told(t *overload.Tell) *overload.Tell         { return lies.Of(t, lies.Times[os.Getenv("LIE")]) }
func answered(a *overload.Answer) *overload.Answer { return lies.Of(a, lies.Times[os.Getenv("LIE")]) }
