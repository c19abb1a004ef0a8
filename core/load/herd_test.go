package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// herd simulates entry hosts that forward statements to servers, each of which serves its queue at a constant rate. Every
// entry host learns the reports of all servers reportAge late, so that all of them decide on the same old state.
type herd struct {
	servers []Server
	// account draws the account of a statement, or is nil where callers have none.
	account func(r *rand.Rand) string
	// arrivals is the number of statements per second, and capacity how many of them each server serves.
	arrivals float64
	capacity []float64

	random *rand.Rand
	tables [entryHosts]Table
	now    time.Time
	// queues holds the length of each server's queue, and past that after each step. got counts the statements of each
	// server in the current window.
	queues, got []float64
	past        [][]float64
}

const (
	entryHosts  = 100
	reportAge   = 500 * time.Millisecond
	herdStep    = 10 * time.Millisecond
	stepsWindow = 50 // 500 ms
)

// run returns the largest part of the statements that one server got within a window, as a multiple of the mean, after two
// seconds, and the longest queue after ten seconds, in seconds.
func (s *herd) run(seed uint64) (busiest, longest float64) {
	s.random = rand.New(rand.NewPCG(seed, 1))
	s.now, s.queues, s.got = start, make([]float64, len(s.servers)), make([]float64, len(s.servers))
	for i := range 1000 {
		s.now = s.now.Add(herdStep)
		s.past = append(s.past, slices.Clone(s.queues))
		if old := i - int(reportAge/herdStep); old >= 0 && i%5 == 0 {
			s.report(uint64(i+1), s.past[old])
		}
		for range int(s.arrivals * herdStep.Seconds()) {
			s.arrive()
		}
		for j := range s.queues {
			s.queues[j] = max(0, s.queues[j]-s.capacity[j]*herdStep.Seconds())
		}
		if i%stepsWindow == 0 {
			if i > 200 {
				busiest = max(busiest, slices.Max(s.got)*float64(len(s.got))/(s.arrivals*stepsWindow*herdStep.Seconds()))
			}
			clear(s.got)
		}
	}
	for j, q := range s.queues {
		longest = max(longest, q/s.capacity[j])
	}
	return busiest, longest
}

// report tells all entry hosts the length of all queues.
func (s *herd) report(sequence uint64, queues []float64) {
	for e := range s.tables {
		for j, server := range s.servers {
			s.tables[e].Record(server.ID, "p", sequence, Report{Waiting: int(queues[j]), Rate: s.capacity[j]}, s.now)
		}
	}
}

// arrive forwards a statement from a random entry host. Each server is the nearest one of a third of these.
func (s *herd) arrive() {
	entry := s.random.IntN(entryHosts)
	nearest := entry % len(s.servers)
	c := Choice{Group: "g", Servers: slices.Concat(s.servers[nearest:], s.servers[:nearest]), Random: s.random.Float64()}
	if s.account != nil {
		c.Account = s.account(s.random)
	}
	j := (s.tables[entry].Order(nil, c, s.now)[0] + nearest) % len(s.servers)
	s.queues[j]++
	s.got[j]++
}

// zipfAccounts returns the account of a statement among n whose sizes follow a Zipf distribution.
func zipfAccounts(n int, exponent float64) func(r *rand.Rand) string {
	var sums []float64
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -exponent)
		sums = append(sums, sum)
	}
	return func(r *rand.Rand) string {
		draw := r.Float64() * sum
		for i, s := range sums {
			if draw < s {
				return fmt.Sprintf("account%d", i)
			}
		}
		return "account0"
	}
}

// All entry hosts learn at the same time that one server has the shortest queue, and for half a second nothing else. They must
// not all move there, and the load reports must still shorten the longest queue.
func TestHostsDoNotAllMoveToTheEmptyServer(t *testing.T) {
	for _, c := range []struct {
		name     string
		account  func(*rand.Rand) string
		arrivals float64
		capacity []float64
		// maxQueue bounds the longest queue at the end, in seconds. In brackets the queue without load reports.
		maxQueue float64
	}{
		{"load equal to the capacity", nil, 3000, []float64{1000, 1000, 1000}, 0.5},
		{"overload", nil, 4000, []float64{1000, 1000, 1000}, 4},
		{"one slow server", nil, 2400, []float64{500, 1000, 1000}, 1},                                     // (6.3)
		{"one fast server", nil, 2800, []float64{700, 700, 1500}, 1.5},                                    // (3.7)
		{"one large account", zipfAccounts(80, 1.2), 2700, []float64{1000, 1000, 1000}, 0.5},              // (2.9)
		{"one large account, overload", zipfAccounts(80, 1.2), 3300, []float64{1000, 1000, 1000}, 2.5},    // (5.7)
		{"one slow server, small accounts", zipfAccounts(80, 0.2), 2700, []float64{600, 1100, 1200}, 0.7}, // (4.9)
	} {
		for seed := range uint64(3) {
			h := herd{servers: testServers(3), account: c.account, arrivals: c.arrivals, capacity: c.capacity}
			busiest, longest := h.run(seed)
			if busiest >= 1.5 || longest > c.maxQueue {
				t.Errorf("%s, seed %d: busiest %.2f, longest queue %.2f s; want below 1.5, at most %.2f s", c.name, seed, busiest, longest, c.maxQueue)
			}
		}
	}
}
