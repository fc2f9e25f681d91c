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
	if (f.What == "kill-pooler" || f.What == "stall-pooler") && r.opt.ReplaceTarget != nil {
		f.Target.Group = r.opt.ReplaceTarget(f.Target.Group)
	}
	if r.wires.faultInjected(r.clk.Now(), r.script, &f); f.What == "load" {
		return nil
	}
	if f.Owner != "" {
		f = *f.Resolved(r.peers.limitOwner)
	}
	r.opt.Log.Info("fault", "what", f.What, "whom", f.Target.String(), "for_ms", f.For)
	switch f.What {
	case "list-late":
		r.fleet.ListLate(f.Value)
		if f.For > 0 && pause(ctx, f.For) {
			r.fleet.ListLate(0)
		}
		return nil
	case "list-gone":
		r.setListFailing(true)
		if f.For > 0 && pause(ctx, f.For) {
			r.setListFailing(false)
		}
		return nil
	case "list-silent":
		r.fleet.ListSilent(true)
		if f.For > 0 && pause(ctx, f.For) {
			r.fleet.ListSilent(false)
		}
		return nil
	case "agent", "deregister-all", "wrong-roles":
		r.lie(f, true)
		if f.For > 0 && pause(ctx, f.For) {
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
		if f.For > 0 && pause(ctx, f.For) {
			do(false)
		}
		return nil
	case "stall-pooler":
		r.poolers[f.Target.Group].pauseProcess(ctx, f.For)
		return nil
	case "kill-pooler":
		p := r.poolers[f.Target.Group]
		p.stop(syscall.SIGKILL)
		if r.opt.Killed != nil {
			r.opt.Killed(p.name)
		}
		if f.For > 0 && pause(ctx, f.For) {
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
	if f.For > 0 && pause(ctx, f.For) {
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
	_ = r.fleet.Act(func(w *model.World) error { w.SetListUnavailable(gone); return nil })
}

// serverFault are what a fault does to a server, and what ends it.
func (r *Run) serverFault(f scenario.Fault) (begin, end func(string) error) {
	on := func(do func(w *model.World, name string) error) func(string) error {
		return func(name string) error {
			return r.fleet.Act(func(w *model.World) error { return do(w, name) })
		}
	}
	b, e := f.Acts()
	return on(b), on(e)
}

func (r *Run) targets(t scenario.Target) (names []string) {
	_ = r.fleet.Act(func(w *model.World) error {
		for _, s := range t.Of(w) {
			names = append(names, s.Name)
		}
		return nil
	})
	return names
}
