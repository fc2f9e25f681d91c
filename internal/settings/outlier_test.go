package settings

import (
	"strings"
	"testing"
)

// TestOutlierDetectionSettings checks the values and errors of (verdicts ...).
func TestOutlierDetectionSettings(t *testing.T) {
	for in, want := range map[string]string{
		`(verdicts)`: `o:1:1: (verdicts ...) needs (peers ...)`,
		`(peers (listen "1.2.3.4:5") (key "k")) (verdicts (observers 1))`:                       `o:1:61: 1 is out of range`,
		`(peers (listen "1.2.3.4:5") (key "k")) (verdicts (blind 1))`:                           `o:1:57: 1 is out of range`,
		`(peers (listen "1.2.3.4:5") (key "k")) (verdicts (places no) (blind 0.25) (lapse 5s))`: ``,
	} {
		settings, err := Parse("o", []byte(in), func(string) string { return "" })
		got := ""
		if err != nil {
			got = err.Error()
		}
		if !strings.HasPrefix(got, want) || (want == "") != (got == "") {
			t.Errorf("%s: error %q, want one that begins with %q", in, got, want)
		}
		if want != "" {
			continue
		}
		detection := settings.OutlierDetection
		if !detection.Enabled || detection.Settings.SharePositions || !detection.Settings.ShareHealth {
			t.Errorf("parsed as %+v, want it enabled, with health shared and positions not", detection)
		}
		if detection.Settings.MaxEjectedShare != 0.25 || detection.Settings.EjectionTime != 5000 {
			t.Errorf("parsed as %+v, want a share of 0.25 and an ejection time of 5000 ms", detection)
		}
	}
}
