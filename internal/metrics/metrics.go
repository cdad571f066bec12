// Package metrics registers the process's metrics and exports them as JSON and as
// Prometheus text, in which histograms appear as summaries. Packages obtain a
// metric by name and labels where they update it.
package metrics

import (
	"net/http"
	"strings"

	"github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
)

// Parameters of the histograms' exponentially decaying samples, which favor recent
// values.
const (
	sampleReservoirSize = 1028 // values
	sampleAlpha         = 0.015
)

// quantiles are the quantiles exported for each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// Histogram returns the histogram with this name and these pairs of label and value,
// such as Histogram("router.ttft_us", "customer", "limon-agents"). The first call
// registers it.
func Histogram(name string, labels ...string) metrics.Histogram {
	return metrics.GetOrRegister(registryName(name, labels), func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleReservoirSize, sampleAlpha))
	}).(metrics.Histogram)
}

// Counter returns the counter with this name and these pairs of label and value. The
// first call registers it.
func Counter(name string, labels ...string) metrics.Counter {
	return metrics.GetOrRegisterCounter(registryName(name, labels), nil)
}

// Gauge returns the gauge with this name and these pairs of label and value. The first
// call registers it.
func Gauge(name string, labels ...string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(registryName(name, labels), nil)
}

// registryName returns the name under which a metric is registered: name, followed
// by ";label=value" for each pair in labels.
func registryName(name string, labels []string) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	for i := 0; i+1 < len(labels); i += 2 {
		b.WriteString(";" + labels[i] + "=" + labels[i+1])
	}
	return b.String()
}

// TextHandler serves all metrics as Prometheus text.
func TextHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runCollectors()
		writePrometheus(w)
	})
}

// Handler serves all metrics: JSON by default, Prometheus text with
// ?format=prometheus or an Accept header that asks for text/plain.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runCollectors()
		if r.URL.Query().Get("format") == "prometheus" || strings.Contains(r.Header.Get("Accept"), "text/plain") {
			writePrometheus(w)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(metrics.DefaultRegistry, w)
	})
}

func writePrometheus(w http.ResponseWriter) {
	w.Header().Set("Content-Type", string(expfmt.NewFormat(expfmt.TypeTextPlain)))
	families := make(map[string]*io_prometheus_client.MetricFamily)
	metrics.DefaultRegistry.Each(func(name string, value any) { addMetric(families, name, value) })
	for _, family := range families {
		if _, err := expfmt.MetricFamilyToText(w, family); err != nil {
			return
		}
	}
}

// addMetric adds a registered metric to its family. It splits the labels from the
// name and ignores values of other types than counter, gauge and histogram.
func addMetric(families map[string]*io_prometheus_client.MetricFamily, name string, value any) {
	parts := strings.Split(name, ";")
	exportedName := "greengage_" + strings.NewReplacer(".", "_", "-", "_").Replace(parts[0])
	metric := &io_prometheus_client.Metric{}
	for _, pair := range parts[1:] {
		label, labelValue, _ := strings.Cut(pair, "=")
		metric.Label = append(metric.Label, &io_prometheus_client.LabelPair{Name: proto.String(label), Value: proto.String(labelValue)})
	}
	metricType := fillMetric(metric, value)
	if metricType == nil {
		return
	}
	family := families[exportedName]
	if family == nil {
		family = &io_prometheus_client.MetricFamily{Name: proto.String(exportedName), Type: metricType}
		families[exportedName] = family
	}
	family.Metric = append(family.Metric, metric)
}

// fillMetric sets the value of metric and returns its type, or nil for a value of an
// unsupported type.
func fillMetric(metric *io_prometheus_client.Metric, value any) *io_prometheus_client.MetricType {
	switch m := value.(type) {
	case metrics.Counter:
		metric.Counter = &io_prometheus_client.Counter{Value: proto.Float64(float64(m.Count()))}
		return io_prometheus_client.MetricType_COUNTER.Enum()
	case metrics.Gauge:
		metric.Gauge = &io_prometheus_client.Gauge{Value: proto.Float64(float64(m.Value()))}
		return io_prometheus_client.MetricType_GAUGE.Enum()
	case metrics.Histogram:
		metric.Summary = summary(m.Snapshot())
		return io_prometheus_client.MetricType_SUMMARY.Enum()
	default:
		return nil
	}
}

func summary(h metrics.Histogram) *io_prometheus_client.Summary {
	s := &io_prometheus_client.Summary{
		SampleCount: proto.Uint64(uint64(h.Count())),
		SampleSum:   proto.Float64(h.Mean() * float64(h.Count())),
	}
	for i, value := range h.Percentiles(quantiles) {
		s.Quantile = append(s.Quantile, &io_prometheus_client.Quantile{
			Quantile: proto.Float64(quantiles[i]),
			Value:    proto.Float64(value),
		})
	}
	return s
}
