package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/endpoints"
	"beechgrade/internal/endpoints/consul"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/endpoints/reconcile"
	"beechgrade/internal/settings"
)

// sources are the sources of the list of servers, where the operators' settings name others than the platform's discovery.
type sources struct {
	set     settings.Endpoints
	members *endpoints.Manager
	consul  *consul.Source // nil where Consul is no source
}

// sourceFiles are the contents of the sources' files.
type sourceFiles struct {
	token    string
	override reconcile.Override
	static   *reconcile.Report // nil where there is none, or it cannot be read
}

// openSources makes the list from several sources, where the settings name them.
func (p *pooler) openSources(set settings.Endpoints) {
	if !set.Enabled {
		return
	}
	s := &sources{set: set}
	s.members = endpoints.New(p.loop, p.log, set.Options, p.core, &p.cfg.InitialList)
	if set.Consul != nil {
		opt := *set.Consul
		opt.Seed = p.cfg.Seed
		s.consul = consul.New(opt, p.loop.Post, p.loop.Now, s.members, p.log)
	}
	p.sources = s
	p.core.SetReportSink(s.members)
}

// begin starts the sources. It runs on the loop before the core starts.
func (s *sources) begin(p *pooler) {
	p.cfg.InitialList = s.members.InitialList()
	if s.set.Options.Platform {
		s.members.SetDiscovery(p.discovery)
	}
	n, err := s.read()
	if err != nil {
		p.log.Error("membership", "err", err)
	}
	if s.consul != nil {
		s.consul.SetToken(n.token)
		s.consul.Start()
	}
	p.loop.Post(func() { s.apply(n) }) // once the core has started
}

// read reads the sources' files. A file that cannot be read does not affect the others.
func (s *sources) read() (n sourceFiles, err error) {
	var errs []error
	note := func(err error) {
		if err != nil {
			errs = append(errs, err)
		}
	}
	n.token, err = s.set.Token()
	note(err)
	n.override, err = s.set.ReadOverride()
	note(err)
	if s.set.StaticPath != "" {
		n.static, err = readStatic(s.set.StaticPath)
		note(err)
	}
	return n, errors.Join(errs...)
}

// apply applies the contents of the files. It runs on the loop.
func (s *sources) apply(n sourceFiles) {
	if s.consul != nil && n.token != "" {
		s.consul.SetToken(n.token)
	}
	if n.static != nil {
		s.members.Observe(endpoints.SourceStatic, n.static)
	}
	s.members.Override(n.override)
}

const maxStatic = 16 << 20

// readStatic reads a list in the platform's format.
func readStatic(path string) (*reconcile.Report, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("static list: %w", err)
	}
	defer func() { _ = f.Close() }()
	b, err := io.ReadAll(io.LimitReader(f, maxStatic+1))
	if err != nil || len(b) > maxStatic {
		return nil, fmt.Errorf("static list %s: over %d bytes, or %w", path, maxStatic, err)
	}
	var l discovery.List
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(b, &l); err != nil {
		return nil, fmt.Errorf("static list %s: %s", path, strings.Join(strings.Fields(err.Error()), " "))
	}
	l.Reset, l.Generation = true, 0
	return endpoints.ReportFromList(&l), nil
}

// stop ends the sources' goroutines.
func (s *sources) stop() {
	if s != nil && s.consul != nil {
		s.consul.Stop()
	}
}
