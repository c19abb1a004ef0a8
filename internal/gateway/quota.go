package gateway

import (
	"context"
	"fmt"
	"slices"
	"time"

	"pearlatch/core/account"
	"pearlatch/core/leadership"
	"pearlatch/internal/quotas"
)

// Quotas keeps the host's accounts within their quotas.
func (h *Host) Quotas() *quotas.Keeper { return h.quotas }

// quotaFleet is what the keeper of quotas knows of other hosts. A shard is a group: whoever holds the duty of the
// group's promotions is the granter of the accounts that fall to it.
type quotaFleet struct{ h *Host }

var _ quotas.Fleet = quotaFleet{}

// Granter implements quotas.Fleet. A holder whose entry has lapsed goes on until there is another one.
func (f quotaFleet) Granter(shard string) (host string, token int64, ok bool) {
	f.h.mu.Lock()
	defer f.h.mu.Unlock()
	key := f.h.coordinatorKey(shard)
	if i, known := f.h.storeView.Item(key); known {
		f.h.coordinatorEntries[shard] = i
	}
	i, ok := f.h.coordinatorEntries[shard]
	return string(i.Value), int64(i.Revision), ok
}

// Ask implements quotas.Fleet.
func (f quotaFleet) Ask(ctx context.Context, host string, r quotas.Request) (quotas.Reply, error) {
	addr, ok := f.h.fleet.Address(host)
	if !ok || f.h.ports.Peers == nil {
		return quotas.Reply{}, errNoCoordinator
	}
	return f.h.ports.Peers.RequestQuota(ctx, addr, r)
}

// Tell implements quotas.Fleet.
func (f quotaFleet) Tell(ctx context.Context, host string, r quotas.TellRequest) (quotas.TellReply, error) {
	addr, ok := f.h.fleet.Address(host)
	if !ok || f.h.ports.Peers == nil {
		return quotas.TellReply{}, errNoCoordinator
	}
	return f.h.ports.Peers.TellQuota(ctx, addr, r)
}

// Ended implements quotas.Fleet.
func (f quotaFleet) Ended(err error) bool { return connRefused(err) }

// Enter implements quotas.Fleet. It writes down all hosts that are listed, since others will ask as well.
func (f quotaFleet) Enter(ctx context.Context, shard, host string) ([]string, error) {
	f.h.mu.Lock()
	d := f.h.coordinators[shard]
	f.h.mu.Unlock()
	if d == nil {
		return nil, errNoCoordinator
	}
	return d.recordGrantees(ctx, host)
}

// recordGrantees writes into the record that the host, and all that are listed, may hold portions of quotas.
func (d *coordinator) recordGrantees(ctx context.Context, host string) ([]string, error) {
	r, ok := d.currentRecord()
	if !ok {
		return nil, errRecordUnknown
	}
	r.Grantees = leadership.Union(append(d.host.fleet.ListedIDs(), r.Grantees...), host, d.host.settings.Host)
	if err := d.saveRecord(ctx, r); err != nil {
		return nil, err
	}
	return r.Grantees, nil
}

// quotaGranters returns the hosts that may take themselves for the granter of the group's accounts, this one among them.
func (d *coordinator) quotaGranters(last leadership.Record) []string {
	before, granting := d.host.quotas.Before(d.group.name)
	if !granting {
		before = last.Granters
	}
	return leadership.Union(before, d.host.settings.Host)
}

func withoutID(ids []string, id string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(each string) bool { return each == id })
}

// startQuotaGranting makes this host the granter of the group's accounts once it knows whom to ask, and if it is it
// already, makes sure that a successor knows of all as well.
func (d *coordinator) startQuotaGranting(grantees, granters []string) {
	d.mu.Lock()
	first, token, held := !d.recordInherited, d.token, d.renewedAt
	d.mu.Unlock()
	if first {
		d.host.quotas.Took(d.group.name, int64(token), held, grantees, granters)
	}
}

// takeQuota lets an operation of the account begin, or refuses it.
func (h *Host) takeQuota(ctx context.Context, a *account.Account, until time.Time) *Failure {
	ok, after := h.quotas.Begin(ctx, a, until)
	if ok {
		return nil
	}
	detail := fmt.Sprintf("account %s is beyond its quota of %g operations per second, %s", a.Name, a.Quota.Rate, retryAfter(after))
	return &Failure{OverQuota, detail}
}
