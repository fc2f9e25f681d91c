//go:build !liar

package adapter

import "beechgrade/internal/cluster/overload"

// told and answered are what is said in truth; rehearsals build a program that lies with the tag liar.
func told(t *overload.Tell) *overload.Tell         { return t }
func answered(a *overload.Answer) *overload.Answer { return a }
