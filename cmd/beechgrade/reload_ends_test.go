package main

import (
	"slices"
	"syscall"
	"testing"

	"beechgrade/internal/config"
)

// withoutClass returns a copy of a configuration without a class.
func withoutClass(c config.Config, class string) *config.Config {
	i := slices.Index(c.Classes, class)
	c.Classes = slices.Delete(slices.Clone(c.Classes), i, i+1)
	c.Settings.Classes = slices.Delete(slices.Clone(c.Settings.Classes), i, i+1)
	return &c
}

// TestReloadRemovesClassesOfOpenRequests: a read and a write are at a server and others are queued when SIGHUP removes both their classes,
// SIGTERM follows at once, and a second SIGHUP loads the same configuration again. Each request gets exactly one answer.
func TestReloadRemovesClassesOfOpenRequests(t *testing.T) {
	addr, queries := server(t)
	pooler, hup, stop, done := startPoolerWithReload(t, addr, nil, func(c config.Config) (*config.Config, error) {
		next := withoutClass(*withoutClass(c, "write"), "read")
		next.Classes = append(next.Classes, "new")
		next.Settings.Classes = append(next.Settings.Classes, c.Settings.Classes[0])
		return next, nil
	})
	read, write := client(t, pooler), client(t, pooler)
	read.send(append(query("1", "read", 9000), query("2", "read", 9000)...))
	write.send(append(query("3", "write", 9000), query("4", "write", 9000)...))
	var out []receivedQuery
	for range 2 { // the other requests are queued
		out = append(out, next(t, queries))
	}
	other := client(t, pooler)
	hup <- syscall.SIGHUP
	waitUntil(t, "the classes are removed", func() bool {
		other.send(query("5", "read", 1))
		return other.answer() == "EZ 42601"
	})
	stop <- syscall.SIGTERM
	hup <- syscall.SIGHUP
	other.send(query("6", "new", 9000))
	for _, q := range out {
		q.send(row("v"))
	}
	go func() {
		for q := range queries {
			q.send(row("v"))
		}
	}()
	for _, c := range []*peer{read, read, write, write, other} {
		c.want("TDCZ v")
	}
	for _, c := range []*peer{read, write, other} {
		_ = c.Close()
	}
	if err := <-done; err != nil {
		t.Errorf("the process ended with error %v", err)
	}
}
