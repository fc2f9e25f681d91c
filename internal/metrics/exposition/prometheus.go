package exposition

import (
	"bytes"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"google.golang.org/protobuf/proto"
)

// PrometheusContentType is the media type of Text.
var PrometheusContentType = string(expfmt.NewFormat(expfmt.TypeTextPlain))

// PrometheusText prints the form that Prometheus reads, version 0.0.4. A thing's name is a label; a word is one too, of the value 1.
func (s *Snapshot) PrometheusText() ([]byte, error) {
	var order []*dto.MetricFamily // the form has each family's lines together
	families := map[string]*dto.MetricFamily{}
	for i := range s.samples {
		f := &s.samples[i]
		name := f.family()
		family := families[name]
		if family == nil {
			family = &dto.MetricFamily{Name: proto.String(name), Type: dto.MetricType_GAUGE.Enum()}
			if f.kind == counterSample {
				family.Type = dto.MetricType_COUNTER.Enum()
			}
			families[name] = family
			order = append(order, family)
		}
		family.Metric = append(family.Metric, f.metric())
	}
	var out bytes.Buffer
	for _, family := range order {
		if _, err := expfmt.MetricFamilyToText(&out, family); err != nil {
			return nil, err
		}
	}
	return out.Bytes(), nil
}

// family is the name that a figure shares with those of other things of its kind.
func (f *sample) family() string {
	name := "app"
	for _, part := range [...]string{f.scope.name, f.scope.labelName, f.name} {
		if part != "" {
			name += "_" + part
		}
	}
	if f.kind == counterSample {
		name += "_total"
	}
	return strings.ReplaceAll(name, ".", "_")
}

func (f *sample) metric() *dto.Metric {
	metric := &dto.Metric{}
	if f.scope.labelName != "" {
		metric.Label = append(metric.Label, &dto.LabelPair{Name: proto.String(f.scope.labelName), Value: validUTF8(f.scope.labelValue)})
	}
	if f.kind == infoSample {
		metric.Label = append(metric.Label, &dto.LabelPair{Name: proto.String("is"), Value: validUTF8(f.text)})
	}
	if f.kind == counterSample {
		metric.Counter = &dto.Counter{Value: proto.Float64(f.value)}
	} else {
		metric.Gauge = &dto.Gauge{Value: proto.Float64(f.value)}
	}
	return metric
}

// validUTF8 is a text as the form can hold it; ids of servers come from outside.
func validUTF8(text string) *string { return proto.String(strings.ToValidUTF8(text, "\uFFFD")) }
