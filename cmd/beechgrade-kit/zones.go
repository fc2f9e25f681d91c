package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	jsoniter "github.com/json-iterator/go"
	"github.com/urfave/cli/v3"

	"beechgrade/internal/cluster/zones/admin"
)

const (
	zonesTimeout   = 2 * time.Second // that a door may take
	maxZonesAnswer = 1 << 20         // bytes of its answer
	zonesRetry     = 200 * time.Millisecond
)

// zonesCommand shows which plan for zones is in force and who follows it, and orders zones, at poolers' doors.
func zonesCommand(asJSON func() cli.Flag) *cli.Command {
	doors := func() cli.Flag {
		return &cli.StringSliceFlag{Name: "door", Usage: "where a pooler's door for operators is, `ADDRESS:PORT`; again for more of them"}
	}
	wait := &cli.DurationFlag{Name: "wait", Value: 10 * time.Second, Usage: "until the order is agreed, at most"}
	until := &cli.DurationFlag{Name: "for", Usage: "for how long it holds, as 10m; else until it is taken back"}
	order := func(name, usage, state string, flags ...cli.Flag) *cli.Command {
		args := "ZONE"
		if state == "" {
			args = "ZONE STATE"
		}
		return &cli.Command{Name: name, Usage: usage, ArgsUsage: args, Flags: append(flags, doors(), wait), Action: func(ctx context.Context, c *cli.Command) error {
			a := c.Args().Slice()
			if state != "" {
				a = append(a, state)
			}
			if len(a) != 2 || c.Args().Len() != len(strings.Fields(args)) {
				return fmt.Errorf("zones %s: %s is due", name, args)
			}
			return orderZone(ctx, c, a[0], a[1])
		}}
	}
	return &cli.Command{
		Name: "zones", Usage: "show the plan for zones that is in force, and who follows it", Flags: []cli.Flag{doors(), asJSON()}, Action: showZones,
		Commands: []*cli.Command{
			order("evacuate", "have a zone's reads served elsewhere", "evacuated", until),
			order("return", "take a zone's order back; it comes back in steps", admin.LiftedState),
			order("order", "have a zone be in a state, whatever is seen: serving, strained, failing, evacuated or returning", "", until),
		},
	}
}

// zoneEndpoint is what a door showed, or why it did not.
type zoneEndpoint struct {
	Endpoint string `json:"door"`
	Err      string `json:"error,omitempty"`
	*admin.Status
}

// callZones makes a call at a door. A no of the door's is an error with its status.
func callZones(ctx context.Context, door, method string, q url.Values) (*admin.Status, int, error) {
	ctx, cancel := context.WithTimeout(ctx, zonesTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: door, Path: "/-/zones", RawQuery: q.Encode()}
	r, err := http.NewRequestWithContext(ctx, method, u.String(), nil)
	if err != nil {
		return nil, 0, err
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(a.Body, maxZonesAnswer))
	switch {
	case err != nil:
		return nil, 0, err
	case a.StatusCode == http.StatusNotFound:
		return nil, a.StatusCode, errors.New("this pooler decides no zones together with others: (zones ...) is not in its settings")
	case a.StatusCode >= http.StatusMultipleChoices:
		return nil, a.StatusCode, errors.New(strings.TrimSpace(string(b)))
	}
	s := &admin.Status{}
	if err := jsoniter.Unmarshal(b, s); err != nil {
		return nil, a.StatusCode, fmt.Errorf("its answer cannot be read: %w", err)
	}
	return s, a.StatusCode, nil
}

// queryZones asks doors side by side.
func queryZones(ctx context.Context, doors []string) []*zoneEndpoint {
	out := make([]*zoneEndpoint, len(doors))
	var wg sync.WaitGroup
	for i, d := range doors {
		wg.Go(func() {
			out[i] = &zoneEndpoint{Endpoint: d}
			s, _, err := callZones(ctx, d, http.MethodGet, nil)
			if out[i].Status = s; err != nil {
				out[i].Err = err.Error()
			}
		})
	}
	wg.Wait()
	return out
}

func adminEndpoints(c *cli.Command) ([]string, error) {
	doors := c.StringSlice("door")
	if len(doors) == 0 {
		return nil, errors.New("zones: at least one --door ADDRESS:PORT is due, of a pooler's control setting")
	}
	return doors, nil
}

func showZones(ctx context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return fmt.Errorf("zones: %q is not known here", c.Args().First())
	}
	doors, err := adminEndpoints(c)
	if err != nil {
		return err
	}
	all := queryZones(ctx, doors)
	if c.Bool("json") {
		return writeJSON(c.Root().Writer, all)
	}
	if err := zonesText(c.Root().Writer, all); err != nil {
		return err
	}
	if !slices.ContainsFunc(all, func(d *zoneEndpoint) bool { return d.Status != nil }) {
		return failed{errors.New("no door answered")}
	}
	return nil
}

// zonesText shows the newest plan that anybody has in force, the zones by it, and what each pooler does.
func zonesText(w io.Writer, all []*zoneEndpoint) error {
	var newest, voter *admin.Status
	for _, d := range all {
		s := d.Status
		if s == nil {
			continue
		}
		if s.Plan != nil && s.Reason == "plan" && (newest == nil || s.Plan.Number > newest.Plan.Number) {
			newest = s
		}
		if s.IsVoter && (voter == nil || s.IsLeader) {
			voter = s
		}
	}
	if newest == nil {
		fmt.Fprintln(w, "no plan is in force at those who were asked")
	} else {
		p := newest.Plan
		fmt.Fprintf(w, "plan %d by %s, the same since %d; %.2f cores short; a zone that receives has %.2f of its safe room at most\n", p.Number, p.Author, p.Since, p.Unserved, p.MaxFill)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if shown := cmp.Or(newest, voter); shown != nil {
		fmt.Fprintln(t, "zone\tstate\treads are served in\torder")
		for i, z := range shown.Zones {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", z.Name, cmp.Or(z.State, "-"), sharesText(z.Shares), orderText(voter, i))
		}
	}
	if err := t.Flush(); err != nil { // columns of the next table are its own
		return err
	}
	fmt.Fprintln(t, "pooler\tzone\tnear\tgoes by\tplan\tvotes")
	for _, d := range all {
		if d.Status == nil {
			continue
		}
		s, no := d.Status, "-"
		if s.Plan != nil {
			no = strconv.FormatUint(s.Plan.Number, 10)
		}
		votes := map[bool]string{true: "votes"}[s.IsVoter]
		if s.IsLeader {
			votes = "leads"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", s.Pooler, s.Zone, s.PreferredZone, s.Reason, no, votes)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, d := range all {
		if d.Err != "" {
			fmt.Fprintf(w, "%s: %s\n", d.Endpoint, d.Err)
		}
	}
	return nil
}

func sharesText(shares []admin.Share) string {
	var out []string
	for _, s := range shares {
		out = append(out, fmt.Sprintf("%s %.0f%%", s.Zone, 100*s.Part))
	}
	return cmp.Or(strings.Join(out, ", "), "-")
}

// orderText is the order of a zone by a voter's book; its number too, as a next one must have a higher one.
func orderText(voter *admin.Status, zone int) string {
	if voter == nil || zone >= len(voter.Zones) {
		return "no voter was asked"
	}
	z := voter.Zones[zone]
	switch {
	case z.Order == nil && z.NewestOrder == 0:
		return "none"
	case z.Order == nil:
		return fmt.Sprintf("none; the last was %d", z.NewestOrder)
	case z.Order.UntilMs > 0:
		return fmt.Sprintf("%d: %s until %s", z.Order.Number, z.Order.State, time.UnixMilli(int64(math.Round(z.Order.UntilMs))).UTC().Format(time.RFC3339))
	}
	return fmt.Sprintf("%d: %s", z.Order.Number, z.Order.State)
}

// orderZone has an order be proposed at a voter until it stands there, which is when the fleet has agreed. It is one order, by its number,
// however often it is proposed.
func orderZone(ctx context.Context, c *cli.Command, zone, state string) error {
	doors, err := adminEndpoints(c)
	if err != nil {
		return err
	}
	if c.Duration("wait") <= 0 || c.IsSet("for") && c.Duration("for") <= 0 {
		return errors.New("zones: --wait and --for are times above 0")
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("wait"))
	defer cancel()
	q := url.Values{"zone": {zone}, "state": {state}}
	if d := c.Duration("for"); d > 0 {
		q.Set("for", d.String())
	}
	why := errors.New("nobody was asked")
	for ctx.Err() == nil {
		all := queryZones(ctx, doors)
		if q.Get("number") == "" {
			if n, ok := newestOrder(all, zone); ok {
				q.Set("number", strconv.FormatUint(n+1, 10))
			}
		}
		for _, d := range all {
			switch {
			case d.Err != "" && ctx.Err() == nil:
				why = fmt.Errorf("%s: %s", d.Endpoint, d.Err)
			case d.Status == nil:
			case !d.IsVoter:
				why = fmt.Errorf("%s: %s does not vote; these do: %s", d.Endpoint, d.Pooler, strings.Join(d.Voters, " "))
			default:
				_, status, err := callZones(ctx, d.Endpoint, http.MethodPost, q)
				switch {
				case status == http.StatusBadRequest:
					return err
				case status == http.StatusConflict:
					return failed{err}
				case status == http.StatusOK:
					fmt.Fprintf(c.Root().Writer, "order %s of zone %s is agreed: %s\n", q.Get("number"), zone, state)
					return nil
				case err != nil && ctx.Err() == nil:
					why = fmt.Errorf("%s: %w", d.Endpoint, err)
				case err == nil:
					why = fmt.Errorf("%s: it is proposed, and not agreed yet", d.Endpoint)
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(zonesRetry):
		}
	}
	if n := q.Get("number"); n != "" {
		why = fmt.Errorf("order %s was not seen to stand; it may yet: %w", n, why)
	}
	return failed{why}
}

// newestOrder is the number of a zone's newest order at any voter that answered; 0 for a zone that nobody knows, too.
func newestOrder(all []*zoneEndpoint, zone string) (newest uint64, ok bool) {
	for _, d := range all {
		if d.Status == nil || !d.IsVoter {
			continue
		}
		ok = true
		for _, z := range d.Zones {
			if z.Name == zone {
				newest = max(newest, z.NewestOrder)
			}
		}
	}
	return newest, ok
}
