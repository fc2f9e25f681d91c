package settings

import (
	"bytes"
	"fmt"
	"io"
	"net/netip"
	"os"

	"beechgrade/internal/cluster"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/sexp"
)

// Peers says how a pooler is one of a fleet. Without it, it talks to no other.
type Peers struct {
	On           bool
	Listen       string
	Advertise    string
	KeyFile      string
	Zone, Region string
	View         view.Settings
}

// Bounds of a key, in bytes.
const (
	leastKey = 16
	mostKey  = 4096
	mostHold = 24 * 3600e3
)

func (p *Peers) read(n *sexp.Node, env func(string) string) error {
	p.On, p.View = true, view.Defaults()
	v := &p.View
	address := func(n *sexp.Node) (string, error) {
		a := n.Args()
		if len(a) != 1 || a[0].Kind == sexp.List {
			return "", n.Errorf("(%s \"ADDRESS:PORT\") takes one address", n.Head())
		}
		if at, err := netip.ParseAddrPort(a[0].Text); err != nil || at.Port() == 0 {
			return "", a[0].Errorf("%q is no address and port in numbers", a[0].Text)
		}
		return a[0].Text, nil
	}
	text := func(to *string) func(*sexp.Node) error {
		return func(n *sexp.Node) (err error) {
			if *to, err = n.Str(); err == nil && (*to == "" || len(*to) > view.MostName) {
				err = n.Errorf("from 1 to %d bytes", view.MostName)
			}
			return err
		}
	}
	span := func(to *float64, least, most float64) func(*sexp.Node) error {
		return func(n *sexp.Node) (err error) { *to, err = n.Millis(least, most); return err }
	}
	err := sexp.Form{
		"listen":    func(n *sexp.Node) (err error) { p.Listen, err = address(n); return err },
		"advertise": func(n *sexp.Node) (err error) { p.Advertise, err = address(n); return err },
		"key": func(n *sexp.Node) error {
			text, err := n.Str()
			if p.KeyFile = os.Expand(text, env); err == nil && p.KeyFile == "" {
				err = n.Errorf("the file's name is empty; is its variable set?")
			}
			return err
		},
		"seeds": func(n *sexp.Node) error {
			for _, a := range n.Args() {
				if at, err := netip.ParseAddrPort(a.Text); a.Kind == sexp.List || err != nil || at.Port() == 0 {
					return a.Errorf("%q is no address and port in numbers", a.Text)
				}
				v.Seeds = append(v.Seeds, a.Text)
			}
			if len(v.Seeds) > 64 {
				return n.Errorf("%d seeds; 64 may be", len(v.Seeds))
			}
			return nil
		},
		"zone": text(&p.Zone), "region": text(&p.Region),
		"expect": func(n *sexp.Node) (err error) { v.Expect, err = n.Int(1, view.MostRecords); return err },
		"probe":  span(&v.Probe, 50, 60000), "timeout": span(&v.Timeout, 10, 10000), "suspicion": span(&v.Suspicion, 100, 600000),
		"gossip": span(&v.Gossip, 50, 10000), "exchange": span(&v.Exchange, 500, 600000), "reconnect": span(&v.Reconnect, 100, 600000),
		"hold": span(&v.Hold, 1000, mostHold), "forget": span(&v.Forget, 10000, mostHold),
	}.Read(n.Args())
	if err != nil {
		return err
	}
	for name, is := range map[string]string{"listen": p.Listen, "key": p.KeyFile} {
		if is == "" {
			return n.Errorf("(peers ...) needs (%s ...)", name)
		}
	}
	if 2*v.Timeout+2*v.Step > v.Probe {
		return n.Errorf("a probe of %g ms leaves no room for two times the time-out of %g ms", v.Probe, v.Timeout)
	}
	if v.Hold > v.Forget {
		return n.Errorf("what is forgotten after %g ms cannot be held for %g ms", v.Forget, v.Hold)
	}
	v.Calm = v.Probe + 2*v.Timeout
	return nil
}

// Key reads the key's file.
func (p *Peers) Key() (cluster.Key, error) { return ReadKey(p.KeyFile) }

// ReadKey reads a file that holds the key of a fleet.
func ReadKey(path string) (cluster.Key, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("the fleet's key: %w", err)
	}
	defer func() { _ = f.Close() }()
	b, err := io.ReadAll(io.LimitReader(f, mostKey+1))
	if err != nil {
		return nil, fmt.Errorf("the fleet's key: %w", err)
	}
	if b = bytes.TrimSpace(b); len(b) < leastKey || len(b) > mostKey {
		return nil, fmt.Errorf("the fleet's key: %s: %d bytes; from %d to %d are wanted", path, len(b), leastKey, mostKey)
	}
	return b, nil
}
