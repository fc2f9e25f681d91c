package rehearse

import (
	"context"
	"syscall"

	"beechgrade/internal/testkit/fake/consulserver"
	"beechgrade/internal/testkit/model"
	"beechgrade/internal/testkit/scenario"
)

// inject carries a fault out at its time, and ends it.
func (r *Run) inject(ctx context.Context, f scenario.Fault) error {
	if !pause(ctx, f.At) {
		return nil
	}
	if (f.Kind == "kill-pooler" || f.Kind == "stall-pooler") && r.opt.ReplaceTarget != nil {
		f.Target.Group = r.opt.ReplaceTarget(f.Target.Group)
	}
	if r.wires.faultInjected(r.clk.Now(), r.script, &f); f.Kind == "load" {
		return nil
	}
	if f.Owner != "" {
		f = *f.Resolved(r.peers.limitOwner)
	}
	r.opt.Log.Info("fault", "what", f.Kind, "whom", f.Target.String(), "for_ms", f.Duration)
	switch f.Kind {
	case "list-late":
		r.fleet.DelayList(f.Value)
		if f.Duration > 0 && pause(ctx, f.Duration) {
			r.fleet.DelayList(0)
		}
		return nil
	case "list-gone":
		r.setListFailing(true)
		if f.Duration > 0 && pause(ctx, f.Duration) {
			r.setListFailing(false)
		}
		return nil
	case "list-silent":
		r.fleet.SetListSilent(true)
		if f.Duration > 0 && pause(ctx, f.Duration) {
			r.fleet.SetListSilent(false)
		}
		return nil
	case "agent", "deregister-all", "wrong-roles":
		r.lie(f, true)
		if f.Duration > 0 && pause(ctx, f.Duration) {
			r.lie(f, false)
		}
		return nil
	case "links", "between":
		r.peers.inject(ctx, f)
		return nil
	case "limit":
		return r.changeLimit(f)
	case "pay":
		return r.pay(f)
	case "cut", "thin", "list-held":
		do := r.pathFault(f)
		do(true)
		if f.Duration > 0 && pause(ctx, f.Duration) {
			do(false)
		}
		return nil
	case "stall-pooler":
		r.poolers[f.Target.Group].pauseProcess(ctx, f.Duration)
		return nil
	case "kill-pooler":
		p := r.poolers[f.Target.Group]
		p.stop(syscall.SIGKILL)
		if r.opt.Killed != nil {
			r.opt.Killed(p.name)
		}
		if f.Duration > 0 && pause(ctx, f.Duration) {
			p.run.wires.faultChanged(p.run.clk.Now(), 0)
			return p.start(ctx)
		}
		return nil
	case "restart-pooler":
		p := r.poolers[f.Target.Group]
		p.stop(syscall.SIGTERM)
		return p.start(ctx)
	}
	names := r.targets(f.Target)
	begin, end := r.serverFault(f)
	for _, n := range names {
		if err := begin(n); err != nil {
			return err
		}
	}
	if f.Duration > 0 && pause(ctx, f.Duration) {
		for _, n := range names {
			if err := end(n); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *Run) setListFailing(gone bool) {
	for _, a := range r.agents {
		a.SetFault(consulserver.Fault{Status: map[bool]int{true: 500}[gone]})
	}
	_ = r.fleet.Update(func(w *model.World) error { w.SetListUnavailable(gone); return nil })
}

// serverFault are what a fault does to a server, and what ends it.
func (r *Run) serverFault(f scenario.Fault) (begin, end func(string) error) {
	on := func(do func(w *model.World, name string) error) func(string) error {
		return func(name string) error {
			return r.fleet.Update(func(w *model.World) error { return do(w, name) })
		}
	}
	b, e := f.Actions()
	return on(b), on(e)
}

func (r *Run) targets(t scenario.Target) (names []string) {
	_ = r.fleet.Update(func(w *model.World) error {
		for _, s := range t.Servers(w) {
			names = append(names, s.Name)
		}
		return nil
	})
	return names
}
