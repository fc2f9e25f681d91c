package main

import (
	"strings"
	"testing"
)

const provision = "SYNC\twall_ns=1000000000\n" +
	"PROVISION\tfront=1\tprng=5\trequest_classes.count=1\trequest_classes.0.effect=retryable\t" +
	"request_classes.0.slo_ns=400000000\tfamily_info.class_read=eventual\tallowed.max_attempts=3\n" +
	"CENSUS\tslot=0\trecords=1\nENTRY\tshard=0\tavailability=SERVING\tstore=h:1\n" +
	"MEMBERS\tfront=1\thow=restored\tslot=0\n"

const ask = "ASK\tfront=1\trequest_id=ab\tdue_ns=2000000000\tshard=0\tcls=0\n"

func TestRun(t *testing.T) {
	for name, c := range map[string]struct{ in, want, not string }{
		"sends":                 {provision + ask + "COMMIT\n", "PASS_ON\tfront=1\trequest_id=ab\tstore=h:1\nWAKE_AT\tfront=1\tinstant_ns=1010000000\ttag=0\nREADY\n", ""},
		"unknown instance":      {"SYNC\twall_ns=1\n" + ask + "COMMIT\n", "READY\n", "PASS_ON"},
		"stopped":               {provision + "CRASH_NOW\tfront=1\n" + ask + "COMMIT\n", "READY\n", "PASS_ON"},
		"stopped and restarted": {provision + "CRASH_NOW\tfront=1\n" + provision[len("SYNC\twall_ns=1000000000\n"):] + ask + "COMMIT\n", "PASS_ON", ""},
	} {
		var out strings.Builder
		if err := run(strings.NewReader(c.in), &out); err != nil {
			t.Errorf("%s: run: got error %v, want none", name, err)
		}
		if !strings.Contains(out.String(), c.want) || c.not != "" && strings.Contains(out.String(), c.not) {
			t.Errorf("%s: got output %q, want it to contain %q, and not %q if that is set", name, out.String(), c.want, c.not)
		}
	}
}

func TestErrorOfMalformedInputNamesLine(t *testing.T) {
	var out strings.Builder
	if err := run(strings.NewReader("SYNC\twall_ns=1\nASK\tfront\n"), &out); err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Errorf("error of malformed input: got %v, want one with \"line 2\"", err)
	}
}

func TestPanicIsReturnedAsFault(t *testing.T) {
	if _, fault := handle(nil, 0, nil, nil); !strings.Contains(fault, "panic") {
		t.Errorf("fault of a panic: got %q, want it to contain \"panic\"", fault)
	}
}
