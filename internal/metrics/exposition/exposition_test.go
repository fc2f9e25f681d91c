package exposition

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"pgregory.net/rapid"

	"beechgrade/internal/testkit/deterministic"
)

// parsePrometheusText parses the text format with Prometheus' own parser, into the value of each sample by its family and labels.
func parsePrometheusText(t interface{ Fatal(...any) }, text []byte) map[string]float64 {
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		t.Fatal("parse the Prometheus text:", err, string(text))
	}
	values := map[string]float64{}
	for name, family := range families {
		for _, metric := range family.Metric {
			id := name
			for _, label := range metric.Label {
				id += fmt.Sprintf(" %s=%q", label.GetName(), label.GetValue())
			}
			if _, exists := values[id]; exists {
				t.Fatal("duplicate sample", id)
			}
			if values[id] = metric.GetGauge().GetValue(); family.GetType() == dto.MetricType_COUNTER {
				values[id] = metric.GetCounter().GetValue()
			}
		}
	}
	return values
}

// TestLinesAndPrometheusText checks the output of one snapshot in both formats. In Prometheus' format, the lines of a family are adjacent.
func TestLinesAndPrometheusText(t *testing.T) {
	t.Parallel()
	var s Snapshot
	s.Scope("").Counter("upstream_tries", math.MaxUint64)
	for _, class := range []string{"read", "write"} {
		s.Scope("handled").Label("class", class).Counter("passed", 3)
		s.Scope("handled").Label("class", class).Counter("dropped", 0)
	}
	s.Scope("credit.books").IntGauge("paid", -2)
	s.Scope("zones").Gauge("short", 1e6)
	s.Scope("zones").Label("zone", "a").BoolGauge("near", true)
	s.Scope("verdicts").Label("server", "s1").Info("why", "silent")
	lines := `app.upstream_tries=18446744073709551615
app.handled.read.passed=3
app.handled.read.dropped=0
app.handled.write.passed=3
app.handled.write.dropped=0
app.credit.books.paid=-2
app.zones.short=1e+06
app.zones.a.near=1
app.verdicts.s1.why=silent
`
	if d := cmp.Diff(lines, string(s.AppendLines(nil))); d != "" {
		t.Errorf("lines (-want +got):\n%s", d)
	}
	text, err := s.PrometheusText()
	if err != nil {
		t.Fatalf("format the Prometheus text: %v", err)
	}
	want := `# TYPE app_upstream_tries_total counter
app_upstream_tries_total 1.8446744073709552e+19
# TYPE app_handled_class_passed_total counter
app_handled_class_passed_total{class="read"} 3
app_handled_class_passed_total{class="write"} 3
# TYPE app_handled_class_dropped_total counter
app_handled_class_dropped_total{class="read"} 0
app_handled_class_dropped_total{class="write"} 0
# TYPE app_credit_books_paid gauge
app_credit_books_paid -2
# TYPE app_zones_short gauge
app_zones_short 1e+06
# TYPE app_zones_zone_near gauge
app_zones_zone_near{zone="a"} 1
# TYPE app_verdicts_server_why gauge
app_verdicts_server_why{server="s1",is="silent"} 1
`
	if d := cmp.Diff(want, string(text)); d != "" {
		t.Errorf("Prometheus text (-want +got):\n%s", d)
	}
}

// TestPrometheusTextKeepsAnyName checks that any name of an object, also with quotes, line breaks or invalid UTF-8, is parsed again with
// its value.
func TestPrometheusTextKeepsAnyName(t *testing.T) {
	t.Parallel()
	deterministic.Check(t, func(t *rapid.T) {
		var s Snapshot
		want := map[string]float64{}
		names := rapid.SliceOfNDistinct(rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{"\xff", "a\"b\\", "x\ny", "", "{}=1"})), 0, 8,
			func(n string) string { return strings.ToValidUTF8(n, "\uFFFD") }).Draw(t, "names")
		for _, name := range names {
			value := rapid.Float64().Draw(t, "x")
			s.Scope("limits").Label("limit", name).Gauge("lent", value)
			s.Scope("limits").Label("limit", name).Info("why", name)
			name = strings.ToValidUTF8(name, "\uFFFD")
			want[fmt.Sprintf("app_limits_limit_lent limit=%q", name)] = value
			want[fmt.Sprintf("app_limits_limit_why limit=%q is=%q", name, name)] = 1
		}
		text, err := s.PrometheusText()
		if err != nil {
			t.Fatalf("format the Prometheus text: %v", err)
		}
		if d := cmp.Diff(want, parsePrometheusText(t, text)); d != "" {
			t.Fatalf("samples of the parsed text (-want +got):\n%s", d)
		}
	})
}

// BenchmarkFormats measures a snapshot of 60 samples in each format.
func BenchmarkFormats(b *testing.B) {
	fill := func() *Snapshot {
		s := &Snapshot{}
		for i := range 20 {
			scope := s.Scope("handled").Label("class", fmt.Sprint(i))
			scope.Counter("passed", 1e6)
			scope.Counter("dropped", 17)
			scope.Counter("bad_gateway", 0)
		}
		return s
	}
	b.Run("lines", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			fill().AppendLines(nil)
		}
	})
	b.Run("text", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := fill().PrometheusText(); err != nil {
				b.Fatalf("format the Prometheus text: %v", err)
			}
		}
	})
}
