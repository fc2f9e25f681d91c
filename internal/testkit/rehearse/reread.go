package rehearse

import (
	"context"
	"syscall"
)

// Reload is a reload of the operators' settings of some poolers during a rehearsal.
type Reload struct {
	AtMs      float64
	Poolers   []int
	Operators string // replaces Options.Operators from then on
}

// reload waits for the time of a reload, and carries it out.
func (r *Run) reload(ctx context.Context, reload Reload) error {
	if !pause(ctx, reload.AtMs) {
		return nil
	}
	for _, no := range reload.Poolers {
		p := r.poolers[no]
		p.operatorsOverride = &reload.Operators
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
