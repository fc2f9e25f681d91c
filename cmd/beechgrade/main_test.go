package main

import (
	"bytes"
	"context"
	"strings"
	"testing"
)

func TestCommandLine(t *testing.T) {
	for _, c := range []struct{ args, config, out, err string }{
		{"version", "", "beechgrade ", ""},
		{"check", "../../example/config.json", "3 classes", ""},
		{"check", "nowhere.json", "", "EDGE_CONFIG"},
		{"serve", "", "", "EDGE_CONFIG: not set"},
		{"", "", "", "EDGE_CONFIG: not set"},
		{"sreve", "../../example/config.json", "", `"sreve"`}, // serve is the default command, but not for an unknown one
	} {
		t.Setenv("EDGE_CONFIG", c.config)
		var out bytes.Buffer
		cmd := command()
		cmd.Writer = &out
		err := cmd.Run(context.Background(), strings.Fields("beechgrade "+c.args))
		if !strings.Contains(out.String(), c.out) || (err != nil) != (c.err != "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("command line %q: printed %q, error %v, want output with %q and error with %q", c.args, out.String(), err, c.out, c.err)
		}
	}
}
