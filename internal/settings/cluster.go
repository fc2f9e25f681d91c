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

// Cluster says how a pooler is one of a fleet. Without it, it talks to no other.
type Cluster struct {
	Enabled      bool
	Listen       string
	Advertise    string
	KeyFile      string
	Zone, Region string
	View         view.Settings
}

// Bounds of a key, in bytes.
const (
	minKeyBytes = 16
	maxKeyBytes = 4096
	maxHoldMs   = 24 * 3600e3
)

func (p *Cluster) read(node *sexp.Node, env func(string) string) error {
	p.Enabled, p.View = true, view.Defaults()
	v := &p.View
	address := func(node *sexp.Node) (string, error) {
		a := node.Args()
		if len(a) != 1 || a[0].Kind == sexp.List {
			return "", node.Errorf("(%s \"ADDRESS:PORT\") takes one address", node.Head())
		}
		if at, err := netip.ParseAddrPort(a[0].Text); err != nil || at.Port() == 0 {
			return "", a[0].Errorf("%q is no address and port in numbers", a[0].Text)
		}
		return a[0].Text, nil
	}
	text := func(to *string) func(*sexp.Node) error {
		return func(node *sexp.Node) (err error) {
			if *to, err = node.Str(); err == nil && (*to == "" || len(*to) > view.MaxNameBytes) {
				err = node.Errorf("from 1 to %d bytes", view.MaxNameBytes)
			}
			return err
		}
	}
	span := func(to *float64, least, most float64) func(*sexp.Node) error {
		return func(node *sexp.Node) (err error) { *to, err = node.Millis(least, most); return err }
	}
	err := sexp.Schema{
		"listen":    func(node *sexp.Node) (err error) { p.Listen, err = address(node); return err },
		"advertise": func(node *sexp.Node) (err error) { p.Advertise, err = address(node); return err },
		"key": func(node *sexp.Node) error {
			text, err := node.Str()
			if p.KeyFile = os.Expand(text, env); err == nil && p.KeyFile == "" {
				err = node.Errorf("the file's name is empty; is its variable set?")
			}
			return err
		},
		"seeds": func(node *sexp.Node) error {
			for _, a := range node.Args() {
				if at, err := netip.ParseAddrPort(a.Text); a.Kind == sexp.List || err != nil || at.Port() == 0 {
					return a.Errorf("%q is no address and port in numbers", a.Text)
				}
				v.SeedAddresses = append(v.SeedAddresses, a.Text)
			}
			if len(v.SeedAddresses) > 64 {
				return node.Errorf("%d seeds; 64 may be", len(v.SeedAddresses))
			}
			return nil
		},
		"zone": text(&p.Zone), "region": text(&p.Region),
		"expect": func(node *sexp.Node) (err error) { v.ExpectedPoolers, err = node.Int(1, view.MaxRecords); return err },
		"probe":  span(&v.ProbeInterval, 50, 60000), "timeout": span(&v.ProbeTimeout, 10, 10000), "suspicion": span(&v.SuspicionTimeout, 100, 600000),
		"gossip": span(&v.GossipInterval, 50, 10000), "exchange": span(&v.ExchangeInterval, 500, 600000), "reconnect": span(&v.ReconnectInterval, 100, 600000),
		"hold": span(&v.SendingTimeout, 1000, maxHoldMs), "forget": span(&v.Retention, 10000, maxHoldMs),
	}.Read(node.Args())
	if err != nil {
		return err
	}
	for name, is := range map[string]string{"listen": p.Listen, "key": p.KeyFile} {
		if is == "" {
			return node.Errorf("(peers ...) needs (%s ...)", name)
		}
	}
	if 2*v.ProbeTimeout+2*v.TickInterval > v.ProbeInterval {
		return node.Errorf("a probe of %g ms leaves no room for two times the time-out of %g ms", v.ProbeInterval, v.ProbeTimeout)
	}
	if v.SendingTimeout > v.Retention {
		return node.Errorf("what is forgotten after %g ms cannot be held for %g ms", v.Retention, v.SendingTimeout)
	}
	v.PauseGrace = v.ProbeInterval + 2*v.ProbeTimeout
	return nil
}

// Key reads the key's file.
func (p *Cluster) Key() (cluster.Key, error) { return ReadKey(p.KeyFile) }

// ReadKey reads a file that holds the key of a fleet.
func ReadKey(path string) (cluster.Key, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("the fleet's key: %w", err)
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, maxKeyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("the fleet's key: %w", err)
	}
	if text = bytes.TrimSpace(text); len(text) < minKeyBytes || len(text) > maxKeyBytes {
		return nil, fmt.Errorf("the fleet's key: %s: %d bytes; from %d to %d are wanted", path, len(text), minKeyBytes, maxKeyBytes)
	}
	return text, nil
}
