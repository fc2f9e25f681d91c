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

// Cluster configures a pooler's membership in a cluster. A pooler without it talks to no other pooler.
type Cluster struct {
	Enabled      bool
	Listen       string
	Advertise    string
	KeyFile      string
	Zone, Region string
	View         view.Settings
}

const (
	minKeyBytes = 16
	maxKeyBytes = 4096
	maxSeeds    = 64
)

var (
	peerCounts     = countRange{1, view.MaxRecords}
	probeIntervals = durationRange{50, minute}
	probeTimeouts  = durationRange{10, 10 * second}
	suspicionTimes = durationRange{100, 10 * minute}
	gossipTimes    = durationRange{50, 10 * second}
	exchangeTimes  = durationRange{500, 10 * minute}
	reconnectTimes = durationRange{100, 10 * minute}
	holdTimes      = durationRange{second, day}
	forgetTimes    = durationRange{10 * second, day}
)

func (c *Cluster) read(node *sexp.Node, env func(string) string) error {
	c.Enabled = true
	c.View = view.Defaults()
	v := &c.View
	err := sexp.Schema{
		"listen":    peerAddress(&c.Listen),
		"advertise": peerAddress(&c.Advertise),
		"key":       filePath(&c.KeyFile, env),
		"seeds":     c.readSeeds,
		"zone":      placeName(&c.Zone),
		"region":    placeName(&c.Region),
		"expect":    count(&v.ExpectedPoolers, peerCounts),
		"probe":     duration(&v.ProbeInterval, probeIntervals),
		"timeout":   duration(&v.ProbeTimeout, probeTimeouts),
		"suspicion": duration(&v.SuspicionTimeout, suspicionTimes),
		"gossip":    duration(&v.GossipInterval, gossipTimes),
		"exchange":  duration(&v.ExchangeInterval, exchangeTimes),
		"reconnect": duration(&v.ReconnectInterval, reconnectTimes),
		"hold":      duration(&v.SendingTimeout, holdTimes),
		"forget":    duration(&v.Retention, forgetTimes),
	}.Read(node.Args())
	switch {
	case err != nil:
		return err
	case c.Listen == "":
		return node.Errorf("(peers ...) needs (listen ...)")
	case c.KeyFile == "":
		return node.Errorf("(peers ...) needs (key ...)")
	case 2*v.ProbeTimeout+2*v.TickInterval > v.ProbeInterval:
		return node.Errorf("(probe ...) of %g ms is too short for two times (timeout ...) of %g ms", v.ProbeInterval, v.ProbeTimeout)
	case v.SendingTimeout > v.Retention:
		return node.Errorf("(forget ...) of %g ms must not be shorter than (hold ...) of %g ms", v.Retention, v.SendingTimeout)
	}
	v.PauseGrace = v.ProbeInterval + 2*v.ProbeTimeout
	return nil
}

func (c *Cluster) readSeeds(node *sexp.Node) error {
	for _, item := range node.Args() {
		if err := checkAddress(item); err != nil {
			return err
		}
		c.View.SeedAddresses = append(c.View.SeedAddresses, item.Text)
	}
	if len(c.View.SeedAddresses) > maxSeeds {
		return node.Errorf("%d seeds; at most %d are allowed", len(c.View.SeedAddresses), maxSeeds)
	}
	return nil
}

// peerAddress reads (key "ADDRESS:PORT"), a numeric address, into target.
func peerAddress(target *string) reader {
	return func(node *sexp.Node) error {
		arguments := node.Args()
		if len(arguments) != 1 || arguments[0].Kind == sexp.List {
			return node.Errorf("(%s \"ADDRESS:PORT\") takes one address", node.Head())
		}
		*target = arguments[0].Text
		return checkAddress(arguments[0])
	}
}

func checkAddress(node *sexp.Node) error {
	address, err := netip.ParseAddrPort(node.Text)
	if node.Kind == sexp.List || err != nil || address.Port() == 0 {
		return node.Errorf("%q is not a numeric address with a port", node.Text)
	}
	return nil
}

// placeName reads the name of a zone or region into target.
func placeName(target *string) reader {
	return func(node *sexp.Node) (err error) {
		*target, err = node.Str()
		if err == nil && (*target == "" || len(*target) > view.MaxNameBytes) {
			err = node.Errorf("the name must have from 1 to %d bytes", view.MaxNameBytes)
		}
		return err
	}
}

// Key reads the key file.
func (c *Cluster) Key() (cluster.Key, error) { return ReadKey(c.KeyFile) }

// ReadKey reads a key from a file. Without the white space around it, a key has from 16 to 4096 bytes.
func ReadKey(path string) (cluster.Key, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("key file: %w", err)
	}
	defer func() { _ = file.Close() }()
	key, err := io.ReadAll(io.LimitReader(file, maxKeyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("key file: %w", err)
	}
	key = bytes.TrimSpace(key)
	if len(key) < minKeyBytes || len(key) > maxKeyBytes {
		return nil, fmt.Errorf("key file: %s: %d bytes; want from %d to %d", path, len(key), minKeyBytes, maxKeyBytes)
	}
	return key, nil
}
