package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/freshness"
)

// oddAddr is an address at which no member listens.
var oddAddr = netip.MustParseAddrPort("127.0.0.9:9")

// oddMark ends the entries of another writer, which name oddAddr.
var oddMark = []byte(" odd")

// oddDecoder decodes the entries of members and of another writer.
type oddDecoder struct{ Decoder }

func (d oddDecoder) Member(key string, value []byte) (Member, error) {
	value, odd := bytes.CutSuffix(value, oddMark)
	m, err := d.Decoder.Member(key, value)
	if odd {
		m.Addr, m.Zone, m.Slots = oddAddr, "odd", 1
	}
	return m, err
}

// oddDialer opens no connections to oddAddr.
type oddDialer struct {
	Dialer
	// other is true if another member listens at oddAddr.
	other bool
}

func (d oddDialer) Dial(ctx context.Context, m Member, account string) (Conn, error) {
	switch {
	case m.Addr != oddAddr:
		return d.Dialer.Dial(ctx, m, account)
	case d.other:
		return nil, &Failure{Misrouted, m.ID}
	}
	return nil, errors.WithStack(syscall.ECONNREFUSED)
}

// Guards against a member that is lost for good, because a host reads an entry of another writer with another address
// before the member's own one: hosts used to keep the first address of an incarnation.
func TestAddressOfOddEntryIsGivenUp(t *testing.T) {
	for _, incarnation := range []int{0, 7} {
		for _, other := range []bool{false, true} {
			t.Run(fmt.Sprintf("incarnation %d, other member there %v", incarnation, other), func(t *testing.T) {
				withOddEntries(t, incarnation, other, func(s *fakeSite, start func() *Host) {
					s.putOdd("a")
					h := start()
					time.Sleep(time.Second)
					s.writeMemberEntry("a", "ready")
					time.Sleep(5 * time.Second)
					if r := exec(h, Write{}); r.Failure != nil {
						t.Errorf("a write after the member's entry is back: %v", r.Failure)
					}
					if m := h.existingGroup(testGroup).primaryMember(); m.Zone != zoneOfMember["a"] || m.Slots != 2 {
						t.Errorf("the member is known as %+v", m)
					}
				})
			})
		}
	}
}

// Guards against a primary that is given up because of an entry with another address: an incarnation does not move, and
// its own address is known.
func TestAddressThatAnsweredIsKept(t *testing.T) {
	withOddEntries(t, 7, false, func(s *fakeSite, start func() *Host) {
		h := start()
		time.Sleep(3 * time.Second)
		exec(h, Write{})
		for round := range 20 {
			if s.putOdd("a"); round%2 == 0 {
				s.writeMemberEntry("a", "ready")
			}
			time.Sleep(200 * time.Millisecond)
			if r := exec(h, Write{}); r.Failure != nil {
				t.Errorf("round %d: %v", round, r.Failure)
			}
		}
		if asked := s.promotionRequests(); len(asked) > 0 {
			t.Errorf("promotions of %v were requested", asked)
		}
	})
}

// withOddEntries runs a test on a site whose members report the incarnation.
func withOddEntries(t *testing.T, incarnation int, other bool, test func(s *fakeSite, start func() *Host)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		s := newFakeSite("a", "b", "c")
		for _, m := range s.members {
			s.updateMember(m.id, func(m *fakeMember) { m.incarnation = incarnation })
			s.writeMemberEntry(m.id, "ready")
		}
		stop := func() {}
		defer time.Sleep(10 * time.Second) // lets the timers of promotions and store watches end
		defer func() { stop() }()
		test(s, func() (h *Host) {
			h, stop = startHostWith(s, "h1", freshness.Latest{}, func(p *Ports) {
				p.Dialer, p.Decode = oddDialer{p.Dialer, other}, oddDecoder{p.Decode}
			})
			return h
		})
	})
}

// putOdd replaces the entry of a member by one with another address, as another writer may.
func (s *fakeSite) putOdd(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	role := "replica"
	if s.member(id).isPrimary {
		role = "primary"
	}
	s.putLocked("members/"+id, append(s.member(id).entry("ready", role), oddMark...), 0)
}
