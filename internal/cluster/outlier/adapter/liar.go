//go:build liar

package joined

import (
	"os"

	"beechgrade/internal/cluster/outlier"
	"beechgrade/internal/testkit/byzantine"
)

// A program with the tag liar lies of servers as LIE in its environment has it; rehearsals build it.
func told(t *verdicts.Tell) *verdicts.Tell { return lies.Said(t, lies.OfServers[os.Getenv("LIE")]) }
func said(w *verdicts.Word) *verdicts.Word { return lies.Said(w, lies.OfServers[os.Getenv("LIE")]) }
