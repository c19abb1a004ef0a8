package hostmetrics

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Recorder records a host's metrics. The registry has no labels, so names include them in braces, in the format of
// Prometheus. With a nil registry nothing is recorded.
type Recorder struct{ Registry metrics.Registry }

// histogramSize is the number of samples in a histogram: enough for the 99th percentile, at two kilobytes each histogram.
const histogramSize = 256

// Count adds n to a counter.
func (m Recorder) Count(name string, n int64) {
	if m.Registry != nil {
		metrics.GetOrRegisterCounter(name, m.Registry).Inc(n)
	}
}

// Observe adds a duration to a histogram, in microseconds.
func (m Recorder) Observe(name string, d time.Duration) {
	if m.Registry == nil {
		return
	}
	h := m.Registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(histogramSize))
	})
	h.(metrics.Histogram).Update(d.Microseconds())
}

// Statement records the outcome and duration of a caller's statement.
func (m Recorder) Statement(route, outcome string, took time.Duration) {
	m.Count(fmt.Sprintf("statements_total{route=%q,outcome=%q}", route, outcome), 1)
	m.Observe(fmt.Sprintf("statement_microseconds{route=%q}", route), took)
}

// ConnWait records how long a statement waited for a connection.
func (m Recorder) ConnWait(group string, took time.Duration) {
	m.Observe(fmt.Sprintf("connection_wait_microseconds{group=%q}", group), took)
}

// EarlyRefusal counts a statement that was refused because it could not be served in time.
func (m Recorder) EarlyRefusal(group string) {
	m.Count(fmt.Sprintf("early_refusals_total{group=%q}", group), 1)
}

// UnexpectedAnswer counts an answer of a member that was not accepted at once for the command that waited.
func (m Recorder) UnexpectedAnswer(group, outcome string) {
	m.Count(fmt.Sprintf("unexpected_answers_total{group=%q,outcome=%q}", group, outcome), 1)
}

// IdleSlots adds slot time during which slots were idle while statements waited that they could run.
func (m Recorder) IdleSlots(group string, total time.Duration) {
	m.Count(fmt.Sprintf("idle_slot_microseconds_total{group=%q}", group), total.Microseconds())
}

// MemberCall records a statement that a member answered and how long the answer took.
func (m Recorder) MemberCall(group, member string, isPrimary bool, took time.Duration) {
	role := "replica"
	if isPrimary {
		role = "primary"
	}
	m.Observe(fmt.Sprintf("member_microseconds{group=%q,role=%q}", group, role), took)
	m.Count(fmt.Sprintf("member_statements_total{group=%q,member=%q}", group, member), 1)
}

// ReceivedForward counts a statement that this host ran for another host.
func (m Recorder) ReceivedForward(group, outcome string) {
	m.Count(fmt.Sprintf("guest_statements_total{group=%q,outcome=%q}", group, outcome), 1)
}

// LocalRead counts a read that was attempted on the local replica.
func (m Recorder) LocalRead(group, outcome string) {
	m.Count(fmt.Sprintf("near_reads_total{group=%q,outcome=%q}", group, outcome), 1)
}

// SentForward counts a statement that was forwarded to another host.
func (m Recorder) SentForward(group, outcome string) {
	m.Count(fmt.Sprintf("forwards_total{group=%q,outcome=%q}", group, outcome), 1)
}

// Retry counts a repeated attempt.
func (m Recorder) Retry(group, reason string) {
	m.Count(fmt.Sprintf("offers_again_total{group=%q,reason=%q}", group, reason), 1)
}

// Promotion records the outcome and duration of a promotion.
func (m Recorder) Promotion(group, outcome string, took time.Duration) {
	m.Count(fmt.Sprintf("promotions_total{group=%q,outcome=%q}", group, outcome), 1)
	m.Observe(fmt.Sprintf("promotion_microseconds{group=%q}", group), took)
}

// LeaseRevocation records how long it took until no host held a lease on a primary.
func (m Recorder) LeaseRevocation(group string, took time.Duration) {
	m.Observe(fmt.Sprintf("lease_recall_microseconds{group=%q}", group), took)
}

// StoreCall records the result and duration of a call to the store.
func (m Recorder) StoreCall(kind, result string, took time.Duration) {
	m.Count(fmt.Sprintf("store_calls_total{kind=%q,result=%q}", kind, result), 1)
	m.Observe(fmt.Sprintf("store_call_microseconds{kind=%q}", kind), took)
}
