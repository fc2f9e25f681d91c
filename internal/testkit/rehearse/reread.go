package rehearse

import (
	"context"
	"syscall"
)

// Reread is a reload of the operators' settings of some poolers during a rehearsal.
type Reread struct {
	AtMs      float64
	Poolers   []int
	Operators string // replaces Options.Operators from then on
}

// reread waits for the time of a reload, and carries it out.
func (r *Run) reread(ctx context.Context, x Reread) error {
	if !pause(ctx, x.AtMs) {
		return nil
	}
	for _, no := range x.Poolers {
		p := r.poolers[no]
		p.operatorsOverride = &x.Operators
		if err := p.writeSettings(); err != nil {
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
