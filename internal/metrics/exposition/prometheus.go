package exposition

import (
	"bytes"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"google.golang.org/protobuf/proto"
)

// PrometheusContentType is the media type of PrometheusText.
var PrometheusContentType = string(expfmt.NewFormat(expfmt.TypeTextPlain))

// PrometheusText formats the samples in Prometheus' text format, version 0.0.4. The name of an object becomes a label; a text becomes the
// label "is" of a sample with the value 1.
func (s *Snapshot) PrometheusText() ([]byte, error) {
	var order []*dto.MetricFamily // the format requires the lines of a family to be adjacent
	families := map[string]*dto.MetricFamily{}
	for i := range s.samples {
		sample := &s.samples[i]
		name := sample.family()
		family := families[name]
		if family == nil {
			family = &dto.MetricFamily{Name: proto.String(name), Type: dto.MetricType_GAUGE.Enum()}
			if sample.kind == counterSample {
				family.Type = dto.MetricType_COUNTER.Enum()
			}
			families[name] = family
			order = append(order, family)
		}
		family.Metric = append(family.Metric, sample.metric())
	}
	var out bytes.Buffer
	for _, family := range order {
		if _, err := expfmt.MetricFamilyToText(&out, family); err != nil {
			return nil, err
		}
	}
	return out.Bytes(), nil
}

// family returns the metric name, which a sample shares with those of other objects of the same kind.
func (s *sample) family() string {
	name := "app"
	for _, part := range [...]string{s.scope.name, s.scope.labelName, s.name} {
		if part != "" {
			name += "_" + part
		}
	}
	if s.kind == counterSample {
		name += "_total"
	}
	return strings.ReplaceAll(name, ".", "_")
}

func (s *sample) metric() *dto.Metric {
	metric := &dto.Metric{}
	if s.scope.labelName != "" {
		metric.Label = append(metric.Label, &dto.LabelPair{Name: proto.String(s.scope.labelName), Value: validUTF8(s.scope.labelValue)})
	}
	if s.kind == infoSample {
		metric.Label = append(metric.Label, &dto.LabelPair{Name: proto.String("is"), Value: validUTF8(s.text)})
	}
	if s.kind == counterSample {
		metric.Counter = &dto.Counter{Value: proto.Float64(s.value)}
	} else {
		metric.Gauge = &dto.Gauge{Value: proto.Float64(s.value)}
	}
	return metric
}

// validUTF8 replaces invalid UTF-8, which the format cannot hold: the ids of servers come from outside the process.
func validUTF8(text string) *string { return proto.String(strings.ToValidUTF8(text, "\uFFFD")) }
