package lab

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Disturbances that must not cause a promotion.
const (
	// longestPause is below the silence after which a member counts as gone.
	longestPause = 250 * time.Millisecond
	// longestSlow is added to every statement of a member grown slow.
	longestSlow = 100 * time.Millisecond
	longestLag  = 5 * time.Second
	// lossPause is how long the bytes after a lost packet wait: TCP's shortest
	// retransmission timeout.
	lossPause = 200 * time.Millisecond
	// lossShare is the share of probes that meet a lost packet.
	lossShare = 0.01
)

// countFalsePromotions disturbs clusters for the given number of cluster minutes
// and returns how often a member was promoted although no primary had failed.
func countFalsePromotions(o FailoverOptions) (int, error) {
	var count atomic.Int64
	var jobs []func() error
	for i := range o.PauseMinutes {
		jobs = append(jobs, func() error {
			n, err := disturb(o, byte(100+i), uint64(i))
			count.Add(int64(n))
			return err
		})
	}
	err := parallel(jobs, 2*parallelClusters)
	return int(count.Load()), err
}

// disturb runs one cluster minute and returns the promotions.
func disturb(o FailoverOptions, net byte, stream uint64) (int, error) {
	c, err := StartCluster(failoverSite(net), o.Logger)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := c.Ready(ctx); err != nil {
		return 0, err
	}
	load := StartLoad(c, LoadOptions{Sessions: 6, Writes: 0.3, Roam: 0.2, Think: 10 * time.Millisecond, Seed: o.Seed})
	rng := rand.New(rand.NewPCG(o.Seed, stream))
	for end := time.Now().Add(time.Minute); time.Now().Before(end); {
		c.disturbOnce(rng)
	}
	load.Stop()
	return c.Groups[0].Promotions(), nil
}

// disturbOnce causes one disturbance and ends it.
func (c *Cluster) disturbOnce(rng *rand.Rand) {
	member := rng.IntN(c.Topology.Members)
	m := c.Groups[0].Member(member)
	switch rng.IntN(4) {
	case 0:
		m.Pause()
		time.Sleep(time.Duration(rng.Int64N(int64(longestPause))))
		m.Resume()
	case 1:
		m.SetSlow(time.Duration(rng.Int64N(int64(longestSlow))))
		time.Sleep(longestPause)
		m.SetSlow(0)
	case 2:
		m.SetApplyLag(time.Duration(rng.Int64N(int64(longestLag))))
		time.Sleep(longestPause)
	case 3:
		c.losePackets(rng, time.Second)
	}
	time.Sleep(time.Duration(rng.Int64N(int64(longestPause))))
}

// losePackets holds back links between hosts and members at the rate at which
// probes meet lost packets.
func (c *Cluster) losePackets(rng *rand.Rand, d time.Duration) {
	probes := int(d / c.Topology.Timing.ProbeInterval)
	for range probes {
		for i := range c.Topology.Hosts {
			for m := range c.Topology.Members {
				if rng.Float64() >= lossShare {
					continue
				}
				host, member := c.Topology.hostAddr(i, peerPort).Addr(), c.Topology.memberAddr(0, m).Addr()
				c.Network.SetCut(host, member, true)
				time.AfterFunc(lossPause, func() { c.Network.SetCut(host, member, false) })
			}
		}
		time.Sleep(c.Topology.Timing.ProbeInterval)
	}
}
