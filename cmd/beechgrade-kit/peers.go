package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	jsoniter "github.com/json-iterator/go"
	"github.com/urfave/cli/v3"

	"beechgrade/internal/cluster"
	"beechgrade/internal/cluster/module"
	fleetview "beechgrade/internal/cluster/view"
	"beechgrade/internal/settings"
)

// peersCommand compares the views that poolers have of the fleet.
func peersCommand(asJSON func() cli.Flag) *cli.Command {
	return &cli.Command{
		Name: "peers", Usage: "ask poolers for their views of the fleet, and lay them side by side, differences first", ArgsUsage: "ADDRESS:PORT...", Action: showPeers,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "key", Usage: "the `FILE` that holds the fleet's key"},
			&cli.BoolFlag{Name: "all", Usage: "ask everybody who is named in the views, too"},
			asJSON(),
		},
		Commands: []*cli.Command{peersMeasureCommand(asJSON), peersLimitsCommand(asJSON)},
	}
}

// peerAnswer is the view of one pooler, or why it did not answer.
type peerAnswer struct {
	Addr    string                 `json:"addr"`
	Name    string                 `json:"name,omitempty"`
	Err     string                 `json:"error,omitempty"`
	Counts  fleetview.Counts       `json:"counts"`
	Records []fleetview.Record     `json:"records"`
	Avoided []module.AvoidedServer `json:"avoided,omitempty"` // because other poolers reported them
}

// queryPeers asks all poolers concurrently.
func queryPeers(addrs []string, key cluster.Key) []*peerAnswer {
	out := make([]*peerAnswer, len(addrs))
	var wg sync.WaitGroup
	for i, a := range addrs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			out[i] = &peerAnswer{Addr: a}
			status, err := cluster.QueryStatus(a, key)
			if err != nil {
				out[i].Err = err.Error()
				return
			}
			if len(status.Records) > 0 {
				out[i].Name = status.Records[0].Name
			}
			out[i].Records, out[i].Counts, out[i].Avoided = status.Records, status.Counts, status.Avoided
		}()
	}
	wg.Wait()
	return out
}

func showPeers(_ context.Context, c *cli.Command) error {
	addrs := c.Args().Slice()
	if len(addrs) == 0 {
		return errors.New("peers: at least one ADDRESS:PORT is required")
	}
	key, err := settings.ReadKey(c.String("key"))
	if err != nil {
		return err
	}
	views := queryPeers(addrs, key)
	if c.Bool("all") {
		var more []string
		for _, v := range views {
			for _, r := range v.Records {
				known := slices.ContainsFunc(views, func(o *peerAnswer) bool { return o.Addr == r.Addr || len(o.Records) > 0 && o.Records[0].ID == r.ID })
				if !known && r.State <= fleetview.Suspect && !slices.Contains(more, r.Addr) {
					more = append(more, r.Addr)
				}
			}
		}
		views = append(views, queryPeers(more, key)...)
	}
	if c.Bool("json") {
		e := jsoniter.NewEncoder(c.Root().Writer)
		e.SetIndent("", "  ")
		return e.Encode(views)
	}
	return peersText(c.Root().Writer, views)
}

// peerLine is a process of the fleet, with its state by each pooler that answered.
type peerLine struct {
	fleetview.Record          // with the highest incarnation that any pooler reported
	states           []string // in the order of the poolers, "-" where it is not known
	differ           bool     // the poolers do not all report the same state
}

// peersText writes a line for each process, first those whose states differ between poolers, and a summary of each pooler.
func peersText(w io.Writer, views []*peerAnswer) error {
	var answered []*peerAnswer
	for _, v := range views {
		if v.Err != "" {
			fmt.Fprintf(w, "%s does not answer: %s\n", v.Addr, v.Err)
			continue
		}
		answered = append(answered, v)
	}
	if err := writePeerLines(w, answered); err != nil {
		return err
	}
	for _, v := range answered {
		majority := "sees no majority"
		if v.Counts.Majority {
			majority = "sees a majority"
		}
		if v.Counts.Isolated {
			majority += ", hears nobody"
		}
		fmt.Fprintf(w, "%s reaches %d, counts %d that may be sending, %s\n", v.Name, v.Counts.Reachable, v.Counts.Sending, majority)
	}
	avoidedText(w, views)
	if len(answered) == 0 {
		return failed{errors.New("nobody answers")}
	}
	return nil
}

// peerLines are the processes that any pooler reports, in the order of peersText.
func peerLines(answered []*peerAnswer) []*peerLine {
	lines := map[fleetview.ID]*peerLine{}
	for _, v := range answered {
		for _, r := range v.Records {
			l := lines[r.ID]
			if l == nil {
				l = &peerLine{Record: r}
				lines[r.ID] = l
			}
			if r.Incarnation > l.Incarnation {
				l.Record = r
			}
		}
	}
	var order []*peerLine
	for id, l := range lines {
		for _, v := range answered {
			state := stateBy(v, id)
			l.states = append(l.states, state)
			l.differ = l.differ || state != l.states[0]
		}
		order = append(order, l)
	}
	slices.SortFunc(order, func(a, b *peerLine) int {
		return cmp.Or(compareTrueFirst(a.differ, b.differ), cmp.Compare(a.Name, b.Name), cmp.Compare(a.ID, b.ID))
	})
	return order
}

// stateBy is the state of a process by one pooler, "-" where the pooler does not know it.
func stateBy(answer *peerAnswer, id fleetview.ID) string {
	i := slices.IndexFunc(answer.Records, func(r fleetview.Record) bool { return r.ID == id })
	if i < 0 {
		return "-"
	}
	state := answer.Records[i].State.String()
	if answer.Records[i].Draining {
		state += ", drains"
	}
	return state
}

// writePeerLines writes the table of processes; a "!" marks those whose states differ.
func writePeerLines(w io.Writer, answered []*peerAnswer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	head := []string{"", "process", "pooler", "zone", "address", "incarnation"}
	for _, v := range answered {
		head = append(head, "by "+v.Name)
	}
	fmt.Fprintln(t, strings.Join(head, "\t"))
	for _, l := range peerLines(answered) {
		mark := ""
		if l.differ {
			mark = "!"
		}
		fmt.Fprintf(t, "%s\t%x\t%s\t%s\t%s\t%d\t%s\n", mark, uint64(l.ID), l.Name, l.Zone, l.Addr, l.Incarnation, strings.Join(l.states, "\t"))
	}
	return t.Flush()
}

// avoidedText lists the servers that poolers avoid, with the reason, the poolers that reported it, and the end of the period.
func avoidedText(w io.Writer, views []*peerAnswer) {
	names := map[fleetview.ID]string{}
	for _, v := range views {
		for _, r := range v.Records {
			names[r.ID] = r.Name
		}
	}
	for _, v := range views {
		for _, a := range v.Avoided {
			var by []string
			for _, id := range a.ReportedBy {
				by = append(by, cmp.Or(names[id], fmt.Sprintf("%x", uint64(id))))
			}
			fmt.Fprintf(w, "%s avoids %s: %s, by the word of %s, until %s\n", v.Name, a.Server, a.Reason, strings.Join(by, " and "), time.UnixMilli(int64(a.UntilMs)).UTC().Format("2006-01-02 15:04:05.000"))
		}
	}
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
