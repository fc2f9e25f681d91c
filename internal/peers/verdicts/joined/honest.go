//go:build !liar

package joined

import "beechgrade/internal/peers/verdicts"

// told and said are what is told in truth; rehearsals build a program that lies with the tag liar.
func told(t *verdicts.Tell) *verdicts.Tell { return t }
func said(w *verdicts.Word) *verdicts.Word { return w }
