package settings

import (
	"beechgrade/internal/sexp"
	"beechgrade/internal/storage/sessiontoken"
)

// Sessions says whether and where sessions' last commits are kept, where the pooler has to remember them.
type Sessions Durable[sessiontoken.Mode]

func (s *Sessions) read(node *sexp.Node, env func(string) string) error {
	return (*Durable[sessiontoken.Mode])(s).read(node, env, "sessions", sessiontoken.BeforeAnswer, sessiontoken.Alongside)
}
