package gateway

import "testing"

func TestShareNeverExceedsTheMembersConnections(t *testing.T) {
	for _, c := range []struct{ connections, hosts, want int }{
		{23, 8, 2}, {30, 7, 4}, {34, 68, 1}, {1, 1, 1}, {20, 0, 18},
	} {
		g := &Group{maxConnections: c.connections, hostCount: c.hosts}
		if got := g.share(); got != c.want {
			t.Errorf("share of %d connections over %d hosts is %d, want %d", c.connections, c.hosts, got, c.want)
		}
	}
}
