package operator

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// metricPrefix is the prefix of all metric names.
const metricPrefix = "pearlatch_"

// quantiles are the quantiles written for a histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

// WritePrometheus writes the counters, gauges and histograms of a registry in the
// Prometheus text format, sorted by line. The name of a metric may end with labels
// in braces.
func WritePrometheus(w io.Writer, r metrics.Registry) error {
	var lines []string
	r.Each(func(name string, metric any) {
		lines = append(lines, metricLines(name, metric)...)
	})
	slices.Sort(lines)
	b := bufio.NewWriter(w)
	for _, line := range lines {
		if _, err := b.WriteString(line); err != nil {
			return err
		}
	}
	return b.Flush()
}

func metricLines(name string, metric any) []string {
	switch m := metric.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s%s %d\n", metricPrefix, name, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s%s %d\n", metricPrefix, name, m.Value())}
	case metrics.Histogram:
		return histogramLines(name, m.Snapshot())
	}
	return nil
}

func histogramLines(name string, h metrics.Histogram) []string {
	base, labels, _ := strings.Cut(strings.TrimSuffix(name, "}"), "{")
	countLabels := ""
	if labels != "" {
		countLabels = "{" + labels + "}"
		labels += ","
	}
	out := []string{fmt.Sprintf("%s%s_count%s %d\n", metricPrefix, base, countLabels, h.Count())}
	for i, v := range h.Percentiles(quantiles) {
		out = append(out, fmt.Sprintf("%s%s{%squantile=\"%g\"} %.0f\n", metricPrefix, base, labels, quantiles[i], v))
	}
	return out
}
