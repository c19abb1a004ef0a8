package admission

import "time"

const (
	// rateWindow is the time over which a rate is measured. A changed rate is known in full after this time, so that a
	// wrong prediction lasts no longer than a second.
	rateWindow = time.Second
	// rateSlots is the number of parts into which rateWindow is divided.
	rateSlots = 10
	// minRateSamples is how many events a rate is based on at least. Fewer say little: intervals between the ends of
	// statements vary by a factor of five and more.
	minRateSamples = 5
)

// RateMeter measures how often an event occurs per second of the time during which it was possible. The zero value has
// measured nothing and is ready for use.
type RateMeter struct {
	slots [rateSlots]rateSlot
	// current is the index of the slot for the present, which began at slotStart.
	current   int
	slotStart time.Time
	// at is up to when the time was accounted for, and active whether it counts from then on.
	at     time.Time
	active bool
}

// rateSlot counts the events in a part of the window, and the time in it that counts.
type rateSlot struct {
	events int
	active time.Duration
}

// advance accounts for the time up to now.
func (m *RateMeter) advance(now time.Time) {
	if now.Sub(m.at) > rateWindow {
		m.Reset(now)
		return
	}
	for m.at.Before(now) {
		end := m.slotStart.Add(rateWindow / rateSlots)
		to := now
		if end.Before(now) {
			to = end
		}
		if m.active {
			m.slots[m.current].active += to.Sub(m.at)
		}
		m.at = to
		if to.Equal(end) {
			m.current = (m.current + 1) % rateSlots
			m.slots[m.current], m.slotStart = rateSlot{}, end
		}
	}
}

// Reset forgets what was measured.
func (m *RateMeter) Reset(now time.Time) {
	*m = RateMeter{slotStart: now, at: now, active: m.active}
}

// SetActive sets whether time counts from now on.
func (m *RateMeter) SetActive(active bool, now time.Time) {
	m.advance(now)
	m.active = active
}

// Record records an event.
func (m *RateMeter) Record(now time.Time) {
	m.advance(now)
	m.slots[m.current].events++
}

// Rate returns the events per second of counted time, or zero if too few were measured.
func (m *RateMeter) Rate(now time.Time) float64 {
	m.advance(now)
	var total rateSlot
	for _, s := range m.slots {
		total.events += s.events
		total.active += s.active
	}
	if total.events < minRateSamples || total.active <= 0 {
		return 0
	}
	return float64(total.events) / total.active.Seconds()
}
