//go:build !liar

package adapter

import "beechgrade/internal/cluster/outlier"

// told and said are what is told in truth; rehearsals build a program that lies with the tag liar.
func told(t *outlier.Tell) *outlier.Tell { return t }
func said(w *outlier.Word) *outlier.Word { return w }
