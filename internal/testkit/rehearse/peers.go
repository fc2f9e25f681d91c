package rehearse

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"beechgrade/internal/cluster"
	"beechgrade/internal/cluster/quota"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/netfault"
	"beechgrade/internal/testkit/scenario"
	"beechgrade/internal/testkit/simulation"
)

// peerFleet is the fleet of poolers that are peers, with the relays between each two of them and the checker of the views that they
// report.
type peerFleet struct {
	run     *Run
	relays  *netfault.Relays
	key     cluster.Key
	keyFile string

	mu        sync.Mutex
	check     *checker.ViewChecker
	ids       []view.ID                // of the running processes, by pooler; 0 until one has answered
	reported  []map[view.ID]view.State // by pooler: the states that it reported last
	answers   int                      // successful queries
	avoidedBy map[string]map[int]bool  // by server: the poolers that reported that they avoid it because of what their peers observed
}

const (
	sampleMs          = 250
	socketDelayMs     = 60   // ms that a message may take on a busy machine, in addition to the delay of the link
	queryDelayMs      = 150  // ms until the answer of a queried pooler arrives
	schedulingDelayMs = 2000 // ms of scheduling delay with dozens of processes on few cores
)

// startPeers opens the relays and writes the shared key.
func (r *Run) startPeers() error {
	s := r.script
	relays, err := netfault.NewRelays(s.Poolers, r.opt.Seed)
	if err != nil {
		return err
	}
	sum := sha256.Sum256([]byte(fmt.Sprint("rehearsal", r.opt.Seed)))
	f := &peerFleet{
		run:       r,
		relays:    relays,
		key:       cluster.Key(hex.EncodeToString(sum[:])),
		ids:       make([]view.ID, s.Poolers),
		reported:  make([]map[view.ID]view.State, s.Poolers),
		avoidedBy: map[string]map[int]bool{},
	}
	if f.keyFile, err = filepath.Abs(filepath.Join(r.opt.Out, "fleet.key")); err != nil {
		return err
	}
	if err := os.WriteFile(f.keyFile, f.key, 0o600); err != nil {
		return err
	}
	bounds := simulation.ViewConfig(s, max(1, s.Poolers/2))
	tolerance := socketDelayMs + queryDelayMs + schedulingDelayMs // delay of a busy machine and of the query
	detect := bounds.DetectMs
	bounds.DetectMs = func(f int) float64 { return detect(f) + float64(tolerance) }
	bounds.SettleMs, bounds.JoinMs, bounds.SpreadMs = bounds.SettleMs+float64(tolerance), bounds.JoinMs+float64(tolerance), bounds.SpreadMs+float64(tolerance)
	f.check = checker.NewViewChecker(bounds, s.Poolers, relays.Cut)
	r.peers = f
	return nil
}

// settings returns the operators' settings that make a pooler a peer.
func (f *peerFleet) settings(no int) string {
	p, v := f.run.script.Peers, &f.run.script.Peers.View
	var b strings.Builder
	fmt.Fprintf(&b, "(peers (listen %q) (advertise %q) (key %q) (expect %d)\n  (seeds", f.relays.ListenAddress(no), f.relays.AdvertisedAddress(no), f.keyFile, f.run.script.Poolers)
	for i := range min(p.Seeds, f.run.script.Poolers) {
		fmt.Fprintf(&b, " %q", f.relays.AdvertisedAddress(i))
	}
	fmt.Fprintf(&b, ")\n  (probe %.0fms) (timeout %.0fms) (suspicion %.0fms) (gossip %.0fms) (exchange %.0fms) (reconnect %.0fms) (hold %.0fms) (forget %.0fms))\n", v.ProbeInterval, v.ProbeTimeout,
		v.SuspicionTimeout, v.GossipInterval, v.ExchangeInterval, v.ReconnectInterval, v.SendingTimeout, v.Retention)
	return b.String()
}

// begin samples the views until the function that it returns is called.
func (f *peerFleet) begin(ctx context.Context) (end func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.sampleUntilDone(ctx)
	}()
	return func() { cancel(); <-done }
}

// sampleUntilDone queries the views of all poolers every sampleMs, until the context ends.
func (f *peerFleet) sampleUntilDone(ctx context.Context) {
	for ctx.Err() == nil {
		f.sampleOnce()
		pause(ctx, sampleMs)
	}
}

// sampleOnce queries the views of all poolers at the same time.
func (f *peerFleet) sampleOnce() {
	var wg sync.WaitGroup
	for i, p := range f.run.poolers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			pid := p.pid()
			if pid == 0 {
				return
			}
			status, err := cluster.QueryStatus(f.relays.ListenAddress(i), f.key)
			f.mu.Lock()
			defer f.mu.Unlock()
			if err != nil || len(status.Records) == 0 || p.pid() != pid {
				return // the process is paused, or has ended in the meantime
			}
			f.answers++
			for _, a := range status.Avoided {
				if f.avoidedBy[a.Server] == nil {
					f.avoidedBy[a.Server] = map[int]bool{}
				}
				f.avoidedBy[a.Server][i] = true
			}
			f.reportChanges(i, status.Records, status.Counts)
		}()
	}
	wg.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.check.Sample(f.run.clk.Now())
}

// reportChanges passes to the checker what a pooler newly reports.
func (f *peerFleet) reportChanges(i int, records []view.Record, counts view.Counts) {
	now := f.run.clk.Now()
	if id := records[0].ID; f.ids[i] != id {
		f.ids[i], f.reported[i] = id, map[view.ID]view.State{}
		f.check.ProcessStarted(now, i, uint64(id))
	}
	for _, r := range records[1:] {
		if previous, known := f.reported[i][r.ID]; !known || previous != r.State {
			f.reported[i][r.ID] = r.State
			f.check.ReportState(now, i, uint64(r.ID), int(r.State), r.Incarnation)
		}
	}
	f.check.ReportCount(now, i, counts.Sending)
}

// limitOwner returns the pooler that owns a limit, among those that answered last.
func (f *peerFleet) limitOwner(limit string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []quota.Peer
	by := map[view.ID]int{}
	for i, id := range f.ids {
		if id != 0 {
			all, by[id] = append(all, quota.Peer{ID: id}), i
		}
	}
	return by[quota.OwnerOf(limit, all)]
}

// prober returns the first pooler that health-checks a server, among those that answered last.
func (f *peerFleet) prober(server string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.run.script.Prober(server, f.ids)
}

// changeLimit changes a limit in the settings of some poolers, and has these reload them.
func (r *Run) changeLimit(f scenario.Fault) error {
	for _, no := range f.AffectedPoolers(r.script) {
		p := r.poolers[no]
		p.limits = scenario.WithLimit(p.limits, f.Target.Name, f.Value)
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
	r.traffic.mu.Lock()
	defer r.traffic.mu.Unlock()
	r.traffic.check.LimitChanged(r.clk.Now()+arrivalToleranceMs, f.Target.Name, f.AffectedPoolers(r.script), len(r.poolers), f.Value, r.script.LoweringDelayMs(&f))
	return nil
}

// ended reports the end of a pooler's process to the checker.
func (f *peerFleet) ended(i int, inOrder bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ids[i] = 0
	f.check.ProcessEnded(f.run.clk.Now(), i, inOrder)
}

// inject injects a fault of the links between poolers, and ends it after its duration.
func (f *peerFleet) inject(ctx context.Context, x scenario.Fault) {
	do := func(on bool) {
		f.relays.Update(func(n *netfault.Net) { x.SetLinks(n, on) })
		f.mu.Lock()
		f.check.FaultChanged(f.run.clk.Now())
		f.run.traffic.faultChanged(f.run.clk.Now(), map[bool]int{true: 1, false: -1}[on])
		if x.Link.LossRate > 0 {
			f.check.SetLossy(on)
		}
		f.mu.Unlock()
	}
	do(true)
	if x.Duration > 0 {
		pause(ctx, x.Duration)
		do(false)
	}
}

// pauseProcess stops the process by a signal for a span in milliseconds, and continues it even if the context ends.
func (p *pooler) pauseProcess(ctx context.Context, ms float64) {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	now := p.run.clk.Now()
	p.run.traffic.processPaused(now, p.index, now+ms)
	if f := p.run.peers; f != nil {
		f.mu.Lock()
		f.check.Paused(now, p.index, now+ms)
		f.mu.Unlock()
	}
	_ = cmd.Process.Signal(syscall.SIGSTOP)
	pause(context.WithoutCancel(ctx), ms) // the process must be continued even if the context has ended
	_ = cmd.Process.Signal(syscall.SIGCONT)
}

// pid returns the ID of the running process, or 0 if there is none.
func (p *pooler) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Fleet is the result of a rehearsal with peers.
type Fleet struct {
	Views   simulation.Views     `json:"views"`
	Carried uint64               `json:"datagrams_carried"`
	Lost    uint64               `json:"datagrams_lost_on_purpose"`
	Looks   int                  `json:"poolers_asked"`
	Uses    []checker.LimitUsage `json:"limits,omitempty"`

	Avoided map[string]int `json:"avoided_by_poolers,omitempty"` // by server: number of poolers that reported that they avoid it because of what their peers observed
}

// result adds the findings of the view checker to a verdict, and returns the counts of the checker and the relays.
func (f *peerFleet) result(v *checker.Verdict) *Fleet {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.check.Verdict(v)
	out := &Fleet{Looks: f.answers, Views: simulation.Views{
		DetectionTimes:   f.check.DetectionTimes,
		SettleTimes:      f.check.SettleTimes,
		FalseAccusations: f.check.FalseAccusations,
		FalseFailures:    f.check.FalseFailures,
	}}
	out.Carried, out.Lost = f.relays.Counts()
	for server, by := range f.avoidedBy {
		if out.Avoided == nil {
			out.Avoided = map[string]int{}
		}
		out.Avoided[server] = len(by)
	}
	return out
}

// settle waits until the last fault is long enough ago that all views must be equal, or until the given time has passed.
func (f *peerFleet) settle(ctx context.Context, maxWait time.Duration) {
	until := time.Now().Add(maxWait)
	for time.Now().Before(until) && ctx.Err() == nil && !f.viewsEqual() {
		pause(ctx, sampleMs)
	}
}

// viewsEqual reports whether all views must be equal by now.
func (f *peerFleet) viewsEqual() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.check.Equal()
}
