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

// sources are the sources of the server list, where the operators' settings name others than the platform's discovery.
type sources struct {
	set     settings.Endpoints
	members *endpoints.Manager
	consul  *consul.Source // nil where Consul is not a source
}

// sourceFiles are the contents of the files among the sources.
type sourceFiles struct {
	token    string
	override reconcile.Override
	static   *reconcile.Report // nil where there is none, or it cannot be read
}

// openSources combines the server list from several sources, where the settings name them.
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
	files, err := s.read()
	if err != nil {
		p.log.Error("endpoints: a source file cannot be read; starting without it", "err", err)
	}
	if s.consul != nil {
		s.consul.SetToken(files.token)
		s.consul.Start()
	}
	p.loop.Post(func() { s.apply(files) }) // runs once the core has started
}

// read reads the sources' files. It reads all of them, even if some cannot be read.
func (s *sources) read() (files sourceFiles, err error) {
	var errs []error
	addError := func(err error) {
		if err != nil {
			errs = append(errs, err)
		}
	}
	files.token, err = s.set.Token()
	addError(err)
	files.override, err = s.set.ReadOverride()
	addError(err)
	if s.set.StaticPath != "" {
		files.static, err = readStatic(s.set.StaticPath)
		addError(err)
	}
	return files, errors.Join(errs...)
}

// apply applies the contents of the files. It runs on the loop.
func (s *sources) apply(files sourceFiles) {
	if s.consul != nil && files.token != "" {
		s.consul.SetToken(files.token)
	}
	if files.static != nil {
		s.members.Observe(endpoints.SourceStatic, files.static)
	}
	s.members.Override(files.override)
}

const maxStaticBytes = 16 << 20

// readStatic reads a static server list in the format of the platform's discovery.
func readStatic(path string) (*reconcile.Report, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("static list: %w", err)
	}
	defer func() { _ = f.Close() }()
	b, err := io.ReadAll(io.LimitReader(f, maxStaticBytes+1))
	if err != nil || len(b) > maxStaticBytes {
		return nil, fmt.Errorf("static list %s: longer than %d bytes, or cannot be read: %w", path, maxStaticBytes, err)
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
