package exposition

import (
	"bytes"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"google.golang.org/protobuf/proto"
)

// TextType is the media type of Text.
var TextType = string(expfmt.NewFormat(expfmt.TypeTextPlain))

// Text prints the form that Prometheus reads, version 0.0.4. A thing's name is a label; a word is one too, of the value 1.
func (s *Sheet) Text() ([]byte, error) {
	var order []*dto.MetricFamily // the form has each family's lines together
	families := map[string]*dto.MetricFamily{}
	for i := range s.figures {
		f := &s.figures[i]
		name := f.family()
		m := families[name]
		if m == nil {
			m = &dto.MetricFamily{Name: proto.String(name), Type: dto.MetricType_GAUGE.Enum()}
			if f.kind == count {
				m.Type = dto.MetricType_COUNTER.Enum()
			}
			families[name] = m
			order = append(order, m)
		}
		m.Metric = append(m.Metric, f.metric())
	}
	var out bytes.Buffer
	for _, m := range order {
		if _, err := expfmt.MetricFamilyToText(&out, m); err != nil {
			return nil, err
		}
	}
	return out.Bytes(), nil
}

// family is the name that a figure shares with those of other things of its kind.
func (f *figure) family() string {
	name := "app"
	for _, x := range [...]string{f.part.name, f.part.key, f.name} {
		if x != "" {
			name += "_" + x
		}
	}
	if f.kind == count {
		name += "_total"
	}
	return strings.ReplaceAll(name, ".", "_")
}

func (f *figure) metric() *dto.Metric {
	m := &dto.Metric{}
	if f.part.key != "" {
		m.Label = append(m.Label, &dto.LabelPair{Name: proto.String(f.part.key), Value: label(f.part.one)})
	}
	if f.kind == word {
		m.Label = append(m.Label, &dto.LabelPair{Name: proto.String("is"), Value: label(f.text)})
	}
	if f.kind == count {
		m.Counter = &dto.Counter{Value: proto.Float64(f.x)}
	} else {
		m.Gauge = &dto.Gauge{Value: proto.Float64(f.x)}
	}
	return m
}

// label is a text as the form can hold it; ids of servers come from outside.
func label(text string) *string { return proto.String(strings.ToValidUTF8(text, "\uFFFD")) }
