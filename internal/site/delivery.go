package site

import (
	"math/rand/v2"
	"time"

	"pearlatch/platform/platformtest"
)

// SetRepeat makes the member send a share of its answers again later, those to START only if start is true.
func (m *Member) SetRepeat(share float64, start bool) {
	m.change(func() { m.repeat, m.repeatStart = share, start })
}

const (
	// repeatSteps is how often the least delay of a repeated answer, a millisecond, may double.
	repeatSteps = 10
	// One in lateRepeatInterval repeated answers comes up to maxLateRepeat late, one in cutInterval answers is cut off
	// and not repeated, and one in doubleRepeatInterval is repeated twice.
	lateRepeatInterval, cutInterval, doubleRepeatInterval = 20, 20, 10

	maxLateRepeat = 4 * time.Second
)

// deliver decides how an answer is delivered.
func (m *Member) deliver(start bool) platformtest.Delivery {
	always := m.group.site.options.RepeatedAnswers
	share := always
	m.change(func() {
		if !start || m.repeatStart {
			share = max(share, m.repeat)
		}
	})
	if rand.Float64() >= share {
		return platformtest.Delivery{}
	}
	if rand.IntN(cutInterval) == 0 {
		return platformtest.Delivery{Cut: true}
	}
	var d platformtest.Delivery
	if rand.IntN(2) == 0 {
		d.RepeatAtNext = true
	} else {
		d.Repeats = append(d.Repeats, repeatDelay())
	}
	if rand.IntN(doubleRepeatInterval) == 0 {
		d.Repeats = append(d.Repeats, repeatDelay())
	}
	return d
}

// repeatDelay returns how much later an answer is sent again.
func repeatDelay() time.Duration {
	if rand.IntN(lateRepeatInterval) == 0 {
		return rand.N(maxLateRepeat)
	}
	return time.Millisecond << rand.IntN(repeatSteps)
}

// reportMalformed notes what a host sent that is no message.
func (m *Member) reportMalformed(err error) {
	m.group.site.history.Broken("UNASKED: member %s: %v", m.ID(), err)
}
