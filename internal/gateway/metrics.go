package gateway

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"
)

// hostMetrics records a host's metrics. The registry has no labels, so names include them in braces, in the format of
// Prometheus. With a nil registry nothing is recorded.
type hostMetrics struct{ registry metrics.Registry }

// histogramSize is the number of samples in a histogram: enough for the 99th percentile, at two kilobytes each histogram.
const histogramSize = 256

// count adds n to a counter.
func (m hostMetrics) count(name string, n int64) {
	if m.registry != nil {
		metrics.GetOrRegisterCounter(name, m.registry).Inc(n)
	}
}

// observe adds a duration to a histogram, in microseconds.
func (m hostMetrics) observe(name string, d time.Duration) {
	if m.registry == nil {
		return
	}
	h := m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(histogramSize))
	})
	h.(metrics.Histogram).Update(d.Microseconds())
}

// set sets a gauge.
func (m hostMetrics) set(name string, v int64) {
	if m.registry != nil {
		metrics.GetOrRegisterGauge(name, m.registry).Update(v)
	}
}

// statement records the outcome and duration of a caller's statement.
func (m hostMetrics) statement(route, outcome string, took time.Duration) {
	m.count(fmt.Sprintf("statements_total{route=%q,outcome=%q}", route, outcome), 1)
	m.observe(fmt.Sprintf("statement_microseconds{route=%q}", route), took)
}

// connWait records how long a statement waited for a connection.
func (m hostMetrics) connWait(group string, took time.Duration) {
	m.observe(fmt.Sprintf("connection_wait_microseconds{group=%q}", group), took)
}

// earlyRefusal counts a statement that was refused because it could not be served in time.
func (m hostMetrics) earlyRefusal(group string) {
	m.count(fmt.Sprintf("early_refusals_total{group=%q}", group), 1)
}

// idleSlots adds slot time during which slots were idle while statements waited that they could run.
func (m hostMetrics) idleSlots(group string, total time.Duration) {
	m.count(fmt.Sprintf("idle_slot_microseconds_total{group=%q}", group), total.Microseconds())
}

// memberCall records a statement that a member answered and how long the answer took.
func (m hostMetrics) memberCall(group, member string, isPrimary bool, took time.Duration) {
	role := "replica"
	if isPrimary {
		role = "primary"
	}
	m.observe(fmt.Sprintf("member_microseconds{group=%q,role=%q}", group, role), took)
	m.count(fmt.Sprintf("member_statements_total{group=%q,member=%q}", group, member), 1)
}

// receivedForward counts a statement that this host ran for another host.
func (m hostMetrics) receivedForward(group, outcome string) {
	m.count(fmt.Sprintf("guest_statements_total{group=%q,outcome=%q}", group, outcome), 1)
}

// localRead counts a read that was attempted on the local replica.
func (m hostMetrics) localRead(group, outcome string) {
	m.count(fmt.Sprintf("near_reads_total{group=%q,outcome=%q}", group, outcome), 1)
}

// sentForward counts a statement that was forwarded to another host.
func (m hostMetrics) sentForward(group, outcome string) {
	m.count(fmt.Sprintf("forwards_total{group=%q,outcome=%q}", group, outcome), 1)
}

// retry counts a repeated attempt.
func (m hostMetrics) retry(group, reason string) {
	m.count(fmt.Sprintf("offers_again_total{group=%q,reason=%q}", group, reason), 1)
}

// promotion records the outcome and duration of a promotion.
func (m hostMetrics) promotion(group, outcome string, took time.Duration) {
	m.count(fmt.Sprintf("promotions_total{group=%q,outcome=%q}", group, outcome), 1)
	m.observe(fmt.Sprintf("promotion_microseconds{group=%q}", group), took)
}

// leaseRevocation records how long it took until no host held a lease on a primary.
func (m hostMetrics) leaseRevocation(group string, took time.Duration) {
	m.observe(fmt.Sprintf("lease_recall_microseconds{group=%q}", group), took)
}

// storeCall records the result and duration of a call to the store.
func (m hostMetrics) storeCall(kind, result string, took time.Duration) {
	m.count(fmt.Sprintf("store_calls_total{kind=%q,result=%q}", kind, result), 1)
	m.observe(fmt.Sprintf("store_call_microseconds{kind=%q}", kind), took)
}
