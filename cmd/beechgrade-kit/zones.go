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
	zonesTimeout   = 2 * time.Second        // for a call of an admin endpoint
	maxZonesAnswer = 1 << 20                // bytes
	zonesRetry     = 200 * time.Millisecond // between two rounds in which an order is proposed
)

// zonesCommand shows the plan for zones that is in force and the poolers that follow it, and sets operators' orders for zones, through the
// poolers' admin endpoints.
func zonesCommand(asJSON func() cli.Flag) *cli.Command {
	endpoints := func() cli.Flag {
		return &cli.StringSliceFlag{Name: "door", Usage: "where a pooler's door for operators is, `ADDRESS:PORT`; again for more of them"}
	}
	wait := &cli.DurationFlag{Name: "wait", Value: 10 * time.Second, Usage: "until the order is agreed, at most"}
	period := &cli.DurationFlag{Name: "for", Usage: "for how long it holds, as 10m; else until it is taken back"}
	order := func(name, usage, state string, flags ...cli.Flag) *cli.Command {
		args := "ZONE"
		if state == "" {
			args = "ZONE STATE"
		}
		return &cli.Command{Name: name, Usage: usage, ArgsUsage: args, Flags: append(flags, endpoints(), wait), Action: func(ctx context.Context, c *cli.Command) error {
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
		Name: "zones", Usage: "show the plan for zones that is in force, and who follows it", Flags: []cli.Flag{endpoints(), asJSON()}, Action: showZones,
		Commands: []*cli.Command{
			order("evacuate", "have a zone's reads served elsewhere", "evacuated", period),
			order("return", "take a zone's order back; it comes back in steps", admin.LiftedState),
			order("order", "have a zone be in a state, whatever is seen: serving, strained, failing, evacuated or returning", "", period),
		},
	}
}

// zoneEndpoint is the answer of an admin endpoint, or why there is none.
type zoneEndpoint struct {
	Endpoint string `json:"door"`
	Err      string `json:"error,omitempty"`
	*admin.Status
}

// callZones calls an admin endpoint and returns its answer and HTTP status. A status of 300 or above is also an error.
func callZones(ctx context.Context, endpoint, method string, q url.Values) (*admin.Status, int, error) {
	ctx, cancel := context.WithTimeout(ctx, zonesTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: endpoint, Path: "/-/zones", RawQuery: q.Encode()}
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

// queryZones asks all admin endpoints concurrently.
func queryZones(ctx context.Context, endpoints []string) []*zoneEndpoint {
	out := make([]*zoneEndpoint, len(endpoints))
	var wg sync.WaitGroup
	for i, d := range endpoints {
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
	endpoints := c.StringSlice("door")
	if len(endpoints) == 0 {
		return nil, errors.New("zones: at least one --door is required, the ADDRESS:PORT of a pooler's control setting")
	}
	return endpoints, nil
}

func showZones(ctx context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return fmt.Errorf("zones: %q is not known here", c.Args().First())
	}
	endpoints, err := adminEndpoints(c)
	if err != nil {
		return err
	}
	answers := queryZones(ctx, endpoints)
	if c.Bool("json") {
		return writeJSON(c.Root().Writer, answers)
	}
	if err := zonesText(c.Root().Writer, answers); err != nil {
		return err
	}
	if !slices.ContainsFunc(answers, func(d *zoneEndpoint) bool { return d.Status != nil }) {
		return failed{errors.New("no door answered")}
	}
	return nil
}

// zonesText writes the newest plan that any of the poolers has in force, the zones by that plan, and what each pooler follows.
func zonesText(w io.Writer, answers []*zoneEndpoint) error {
	var newest, voter *admin.Status
	for _, d := range answers {
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
	if err := t.Flush(); err != nil { // the next table has columns of its own
		return err
	}
	fmt.Fprintln(t, "pooler\tzone\tnear\tgoes by\tplan\tvotes")
	for _, d := range answers {
		if d.Status == nil {
			continue
		}
		s, planNumber := d.Status, "-"
		if s.Plan != nil {
			planNumber = strconv.FormatUint(s.Plan.Number, 10)
		}
		votes := map[bool]string{true: "votes"}[s.IsVoter]
		if s.IsLeader {
			votes = "leads"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", s.Pooler, s.Zone, s.PreferredZone, s.Reason, planNumber, votes)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, d := range answers {
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

// orderText is the order of a zone that a voter reports, with its number, as the next order needs a higher one.
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

// orderZone proposes an order at the voters until one reports it as agreed. However often it is proposed, it remains one order, as its
// number stays the same.
func orderZone(ctx context.Context, c *cli.Command, zone, state string) error {
	endpoints, err := adminEndpoints(c)
	if err != nil {
		return err
	}
	if c.Duration("wait") <= 0 || c.IsSet("for") && c.Duration("for") <= 0 {
		return errors.New("zones: --wait and --for must be above 0")
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("wait"))
	defer cancel()
	q := url.Values{"zone": {zone}, "state": {state}}
	if d := c.Duration("for"); d > 0 {
		q.Set("for", d.String())
	}
	lastErr := errors.New("nobody was asked")
	for ctx.Err() == nil {
		answers := queryZones(ctx, endpoints)
		if q.Get("number") == "" {
			if n, ok := newestOrder(answers, zone); ok {
				q.Set("number", strconv.FormatUint(n+1, 10))
			}
		}
		for _, d := range answers {
			switch {
			case d.Err != "" && ctx.Err() == nil:
				lastErr = fmt.Errorf("%s: %s", d.Endpoint, d.Err)
			case d.Status == nil:
			case !d.IsVoter:
				lastErr = fmt.Errorf("%s: %s does not vote; these do: %s", d.Endpoint, d.Pooler, strings.Join(d.Voters, " "))
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
					lastErr = fmt.Errorf("%s: %w", d.Endpoint, err)
				case err == nil:
					lastErr = fmt.Errorf("%s: it is proposed, and not agreed yet", d.Endpoint)
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(zonesRetry):
		}
	}
	if n := q.Get("number"); n != "" {
		lastErr = fmt.Errorf("order %s was not seen to stand; it may yet: %w", n, lastErr)
	}
	return failed{lastErr}
}

// newestOrder is the highest number of a zone's orders at the voters that answered, 0 also for an unknown zone. ok is false if no
// voter answered.
func newestOrder(answers []*zoneEndpoint, zone string) (newest uint64, ok bool) {
	for _, d := range answers {
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
