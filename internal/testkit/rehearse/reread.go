package rehearse

import (
	"context"
	"syscall"
)

// Reread has poolers read other operators' settings in the midst of a rehearsal.
type Reread struct {
	AtMs      float64
	Poolers   []int
	Operators string // in place of Options.Operators, from then on
}

// reread carries one out when its time has come.
func (r *Run) reread(ctx context.Context, x Reread) error {
	if !pause(ctx, x.AtMs) {
		return nil
	}
	for _, no := range x.Poolers {
		p := r.poolers[no]
		p.more = &x.Operators
		if err := p.settings(); err != nil {
			return err
		}
		p.mu.Lock()
		cmd := p.cmd
		p.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGHUP)
		}
	}
	return nil
}
