package rehearse

import (
	"context"
	"net/http"
	"syscall"

	"beechgrade/internal/testkit/fake/consulserver"
	"beechgrade/internal/testkit/model"
	"beechgrade/internal/testkit/scenario"
)

// inject waits for the time of a fault, injects it, and ends it after its duration.
func (r *Run) inject(ctx context.Context, f scenario.Fault) error {
	if !pause(ctx, f.At) {
		return nil
	}
	if hitsOnePooler(f) && r.opt.ReplaceTarget != nil {
		f.Target.Group = r.opt.ReplaceTarget(f.Target.Group)
	}
	r.traffic.faultInjected(r.clk.Now(), r.script, &f)
	if f.Kind == "load" {
		return nil
	}
	if f.Owner != "" {
		f = *f.WithOwner(r.peers.limitOwner)
	}
	r.opt.Log.Info("injecting fault", "kind", f.Kind, "target", f.Target.String(), "for_ms", f.Duration)
	switch f.Kind {
	case "list-late":
		r.during(ctx, f, func(on bool) { r.fleet.DelayList(map[bool]float64{true: f.Value}[on]) })
	case "list-gone":
		r.during(ctx, f, r.setListFailing)
	case "list-silent":
		r.during(ctx, f, r.fleet.SetListSilent)
	case "agent", "deregister-all", "wrong-roles":
		r.during(ctx, f, func(on bool) { r.setConsulFault(f, on) })
	case "cut", "thin", "list-held":
		r.during(ctx, f, r.pathFault(f))
	case "links", "between":
		r.peers.inject(ctx, f)
	case "limit":
		return r.changeLimit(f)
	case "pay":
		return r.pay(f)
	case "stall-pooler":
		r.poolers[f.Target.Group].pauseProcess(ctx, f.Duration)
	case "kill-pooler":
		return r.killPooler(ctx, f)
	case "restart-pooler":
		p := r.poolers[f.Target.Group]
		p.stop(syscall.SIGTERM)
		return p.start(ctx)
	default:
		return r.injectAtServers(ctx, f)
	}
	return nil
}

// hitsOnePooler reports whether a fault kills or stops one pooler's process.
func hitsOnePooler(f scenario.Fault) bool { return f.Kind == "kill-pooler" || f.Kind == "stall-pooler" }

// during switches a fault on, and off after its duration. Without a duration, or when the context ends before, it stays on.
func (r *Run) during(ctx context.Context, f scenario.Fault, set func(on bool)) {
	set(true)
	if f.Duration > 0 && pause(ctx, f.Duration) {
		set(false)
	}
}

// killPooler kills a pooler's process, and starts it again after the duration of the fault, if it has one.
func (r *Run) killPooler(ctx context.Context, f scenario.Fault) error {
	p := r.poolers[f.Target.Group]
	p.stop(syscall.SIGKILL)
	if r.opt.Killed != nil {
		r.opt.Killed(p.name)
	}
	if f.Duration > 0 && pause(ctx, f.Duration) {
		r.traffic.faultChanged(r.clk.Now(), 0)
		return p.start(ctx)
	}
	return nil
}

// injectAtServers injects a fault at each of its target servers, and ends it after its duration.
func (r *Run) injectAtServers(ctx context.Context, f scenario.Fault) error {
	names := r.targets(f.Target)
	begin, end := r.serverFault(f)
	for _, name := range names {
		if err := begin(name); err != nil {
			return err
		}
	}
	if f.Duration <= 0 || !pause(ctx, f.Duration) {
		return nil
	}
	for _, name := range names {
		if err := end(name); err != nil {
			return err
		}
	}
	return nil
}

// setListFailing has calls for the endpoint list fail, or succeed again.
func (r *Run) setListFailing(unavailable bool) {
	for _, a := range r.agents {
		a.SetFault(consulserver.Fault{Status: map[bool]int{true: http.StatusInternalServerError}[unavailable]})
	}
	_ = r.fleet.Update(func(w *model.World) error { w.SetListUnavailable(unavailable); return nil })
}

// serverFault returns functions that begin and end a fault at a server.
func (r *Run) serverFault(f scenario.Fault) (begin, end func(string) error) {
	on := func(do func(w *model.World, name string) error) func(string) error {
		return func(name string) error {
			return r.fleet.Update(func(w *model.World) error { return do(w, name) })
		}
	}
	b, e := f.Actions()
	return on(b), on(e)
}

// targets returns the names of the servers that a fault hits.
func (r *Run) targets(t scenario.Target) (names []string) {
	_ = r.fleet.Update(func(w *model.World) error {
		for _, s := range t.Servers(w) {
			names = append(names, s.Name)
		}
		return nil
	})
	return names
}
