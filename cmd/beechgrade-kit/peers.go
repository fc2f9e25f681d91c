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

// peerAnswer is what one pooler said, or why it did not.
type peerAnswer struct {
	Addr    string                 `json:"addr"`
	Name    string                 `json:"name,omitempty"`
	Err     string                 `json:"error,omitempty"`
	Counts  fleetview.Counts       `json:"counts"`
	Records []fleetview.Record     `json:"records"`
	Avoided []module.AvoidedServer `json:"avoided,omitempty"` // servers, by others' word
}

// queryPeers asks poolers side by side.
func queryPeers(addrs []string, key cluster.Key) []*peerAnswer {
	out := make([]*peerAnswer, len(addrs))
	var wg sync.WaitGroup
	for i, a := range addrs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			out[i] = &peerAnswer{Addr: a}
			shown, err := cluster.QueryStatus(a, key)
			if err != nil {
				out[i].Err = err.Error()
				return
			}
			if len(shown.Records) > 0 {
				out[i].Name = shown.Records[0].Name
			}
			out[i].Records, out[i].Counts, out[i].Avoided = shown.Records, shown.Counts, shown.Avoided
		}()
	}
	wg.Wait()
	return out
}

func showPeers(_ context.Context, c *cli.Command) error {
	addrs := c.Args().Slice()
	if len(addrs) == 0 {
		return errors.New("peers: at least one ADDRESS:PORT is due")
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

// peersText lays views side by side: a line for each process, first those on which the poolers differ.
func peersText(w io.Writer, views []*peerAnswer) error {
	type line struct {
		fleetview.Record
		says   []string
		differ bool
	}
	lines := map[fleetview.ID]*line{}
	answered := 0
	for _, v := range views {
		if v.Err != "" {
			fmt.Fprintf(w, "%s does not answer: %s\n", v.Addr, v.Err)
			continue
		}
		answered++
		for _, r := range v.Records {
			l := lines[r.ID]
			if l == nil {
				l = &line{Record: r}
				lines[r.ID] = l
			}
			if r.Incarnation > l.Incarnation {
				l.Record = r
			}
		}
	}
	var order []*line
	for id, l := range lines {
		for _, v := range views {
			if v.Err != "" {
				continue
			}
			i := slices.IndexFunc(v.Records, func(r fleetview.Record) bool { return r.ID == id })
			states := "-"
			if i >= 0 {
				if states = v.Records[i].State.String(); v.Records[i].Draining {
					states += ", drains"
				}
			}
			l.says = append(l.says, states)
			l.differ = l.differ || states != l.says[0]
		}
		order = append(order, l)
	}
	slices.SortFunc(order, func(a, b *line) int {
		return cmp.Or(boolFirst(a.differ, b.differ), cmp.Compare(a.Name, b.Name), cmp.Compare(a.ID, b.ID))
	})
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	head := []string{"", "process", "pooler", "zone", "address", "incarnation"}
	for _, v := range views {
		if v.Err == "" {
			head = append(head, "by "+v.Name)
		}
	}
	fmt.Fprintln(t, strings.Join(head, "\t"))
	for _, l := range order {
		mark := ""
		if l.differ {
			mark = "!"
		}
		fmt.Fprintf(t, "%s\t%x\t%s\t%s\t%s\t%d\t%s\n", mark, uint64(l.ID), l.Name, l.Zone, l.Addr, l.Incarnation, strings.Join(l.says, "\t"))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, v := range views {
		if v.Err == "" {
			fmt.Fprintf(w, "%s reaches %d, counts %d that may be sending, %s%s\n", v.Name, v.Counts.Reachable, v.Counts.Sending,
				map[bool]string{true: "sees a majority", false: "sees no majority"}[v.Counts.Majority], map[bool]string{true: ", hears nobody"}[v.Counts.Isolated])
		}
	}
	if avoidedText(w, views); answered == 0 {
		return failed{errors.New("nobody answers")}
	}
	return nil
}

// avoidedText tells why servers are avoided, by whose word, and until when.
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

func boolFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
