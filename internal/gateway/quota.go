package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"pearlatch/core/account"
	"pearlatch/core/admission"
	"pearlatch/core/kv"
	"pearlatch/core/leadership"
	"pearlatch/internal/fleet"
	"pearlatch/internal/quotas"
)

// Quotas returns the keeper that enforces the quotas of client accounts on this host.
func (h *Host) Quotas() *quotas.Enforcer { return h.quotas }

// quotaFleet gives the quota keeper access to other hosts. A shard of accounts is a group: the group's coordinator is
// the granter of the accounts assigned to the group.
type quotaFleet struct {
	*fleet.Hosts
	h *Host
}

var _ quotas.Fleet = quotaFleet{}

// Granter implements quotas.Fleet. A coordinator whose store entry has expired remains the granter until there is
// another one.
func (f quotaFleet) Granter(shard string) (host string, token int64, ok bool) {
	f.h.mu.Lock()
	defer f.h.mu.Unlock()
	key := f.h.coordinatorKey(shard)
	if entry, known := f.h.storeView.Item(key); known {
		f.h.quotaGranterEntries[shard] = entry
	}
	entry, ok := f.h.quotaGranterEntries[shard]
	return string(entry.Value), int64(entry.Revision), ok
}

// Peer implements quotas.Fleet.
func (f quotaFleet) Peer(host string) (quotas.Peers, netip.AddrPort, error) {
	addr, ok := f.Address(host)
	if !ok || f.h.ports.Peers == nil {
		return nil, addr, errNoCoordinator
	}
	return f.h.ports.Peers, addr, nil
}

// IsProcessEnded implements quotas.Fleet.
func (f quotaFleet) IsProcessEnded(err error) bool { return connRefused(err) }

// RecordGrantee implements quotas.Fleet. It records all listed hosts, since the others will request quotas as well.
func (f quotaFleet) RecordGrantee(ctx context.Context, shard, host string, reserveHolders []string) ([]string, error) {
	f.h.mu.Lock()
	d := f.h.coordinators[shard]
	f.h.mu.Unlock()
	if d == nil {
		return nil, errNoCoordinator
	}
	return d.recordGrantees(ctx, host, reserveHolders)
}

// recordGrantees stores in the record that the given host and all listed hosts may hold portions of quotas, and, unless nil,
// which hosts may hold reserves. It returns all hosts that may hold portions.
func (d *coordinator) recordGrantees(ctx context.Context, host string, reserveHolders []string) (grantees []string, err error) {
	if _, ok := d.currentRecord(); !ok {
		return nil, errRecordUnknown
	}
	err = d.changeRecord(ctx, 0, func(r *leadership.Record) {
		grantees = leadership.Union(append(d.host.fleet.ListedIDs(), r.PortionHolders...), host, d.host.settings.Host)
		if r.PortionHolders = grantees; reserveHolders != nil {
			r.ReserveHolders = reserveHolders
		}
	}, kv.Transaction{})
	return grantees, err
}

// quotaGranters returns the hosts that may regard themselves as the granter of the group's accounts, including this
// one.
func (d *coordinator) quotaGranters(last leadership.Record) []string {
	before, granting := d.host.quotas.FormerGranters(d.group.name)
	if !granting {
		before = last.QuotaGranters
	}
	return leadership.Union(before, d.host.settings.Host)
}

// startQuotaGranting makes this host the granter of the group's accounts once it knows which hosts may hold portions
// or be granters, and if it is the granter already, makes sure that a successor knows of them as well.
func (d *coordinator) startQuotaGranting(r leadership.Record, granters []string) {
	d.mu.Lock()
	first, token, renewedAt := !d.recordInherited, d.token, d.renewedAt
	d.mu.Unlock()
	if first {
		d.host.quotas.StartGranting(d.group.name, int64(token), renewedAt, r.PortionHolders, r.ReserveHolders, granters)
	}
}

// unlimitedWeight is the weight of an account without a quota: that of the largest quotas in use, since it must not get
// less than accounts that are limited.
const unlimitedWeight = 500

// accountWeight returns the share of an account in the members' slots while statements wait, which is its quota. It is
// zero where callers have no accounts.
func (h *Host) accountWeight(name string) float64 {
	if name == "" {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.config == nil || h.config.Accounts == nil {
		return 0
	}
	if a := h.config.Accounts.Account(name); a != nil && !a.Quota.Unlimited() {
		return a.Quota.Rate
	}
	return unlimitedWeight
}

// takeQuota charges an operation to the account's quota, and may wait for the granter until the given time. It
// returns an OverQuota failure if the quota is exhausted.
func (h *Host) takeQuota(ctx context.Context, a *account.Account, until time.Time) *Failure {
	ok, after := h.quotas.Admit(ctx, a, until)
	if ok {
		return nil
	}
	detail := fmt.Sprintf("account %s is beyond its quota of %g operations per second, %s", a.Name, a.Quota.Rate, retryAfter(admission.Spread(after, rand.Float64())))
	return &Failure{OverQuota, detail}
}
