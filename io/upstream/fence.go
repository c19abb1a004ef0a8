package upstream

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"pearlatch/core/group"
)

// attachOthers makes the other fenced members follow the member that is about to be
// promoted. It runs in the background, so that a replica already follows when the
// first write needs a confirmation. A replica waits until its source is promoted.
func (o *Owner) attachOthers(ctx context.Context, fenced []group.FenceAck, primary int, fence group.Fence) {
	o.mu.Lock()
	for i := range o.attachAfter {
		o.attachAfter[i] = time.Now().Add(attachTimeout)
	}
	o.mu.Unlock()
	for _, f := range fenced {
		if f.Member != primary && !o.options.Unsafe.SkipFence {
			go o.attach(context.WithoutCancel(ctx), attach{member: f.Member, primary: primary, fence: fence})
		}
	}
}

// fenceAll fences all members that answer probes, in parallel, and returns the
// acknowledgments of those that accepted, ordered by member.
func (o *Owner) fenceAll(ctx context.Context, fence group.Fence) []group.FenceAck {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	var mu sync.Mutex
	var fenced []group.FenceAck
	var wg sync.WaitGroup
	for i := range o.probers {
		if !o.isPresent(i) {
			continue
		}
		wg.Go(func() {
			f, err := o.fence(ctx, i, fence)
			if err != nil {
				o.logStep("fence", i, err, "term", uint64(fence.Term))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			fenced = append(fenced, f)
		})
	}
	wg.Wait()
	slices.SortFunc(fenced, func(a, b group.FenceAck) int { return a.Member - b.Member })
	return fenced
}

// fence stores the fence on a member and returns the end of its log. A replica is
// disconnected from its source; a primary is made read-only and its sessions are
// ended.
func (o *Owner) fence(ctx context.Context, i int, fence group.Fence) (group.FenceAck, error) {
	acks := make(chan group.FenceAck, 1) // the command may outlast the wait for it
	err := o.probers[i].do(ctx, func(ctx context.Context, conn *pgconn.PgConn, _ uint64) error {
		if o.options.Unsafe.SkipFence {
			status, err := queryStatus(ctx, conn)
			acks <- fenceAckOf(i, status)
			return err
		}
		before, status, err := storeFence(ctx, conn, fence, func(s group.Status) []string {
			if s.InRecovery {
				return []string{FollowSQL(noSource)}
			}
			return []string{ReadOnlySQL, ReloadSQL, EndOthersSQL}
		})
		if err != nil {
			return err
		}
		status, err = awaitLogEnd(ctx, conn, status, before.LogTerm == before.Fence.Term)
		acks <- fenceAckOf(i, status)
		return err
	})
	if err != nil {
		return group.FenceAck{}, err
	}
	return <-acks, nil
}

func fenceAckOf(i int, s group.Status) group.FenceAck {
	return group.FenceAck{Member: i, LogTerm: s.LogTerm, Received: s.Received, InRecovery: s.InRecovery}
}

// awaitLogEnd waits until the member receives no more WAL and the term of its last
// record is known, and returns the status at that time. known tells that the term of
// the last replayed record is the highest term that the member had accepted: records
// received later can hold no higher one. Otherwise the member must replay
// everything that it received first.
func awaitLogEnd(ctx context.Context, conn *pgconn.PgConn, status group.Status, known bool) (group.Status, error) {
	for status.InRecovery && (status.Streaming || !known && status.Replayed != status.Received) {
		sleep(ctx, statusPollInterval)
		var err error
		if status, err = queryStatus(ctx, conn); err != nil {
			return status, err
		}
	}
	return status, nil
}

// statusPollInterval is the interval at which a wait for a change of a member's
// status checks it.
const statusPollInterval = time.Millisecond

// noSource is the source address of a replica that follows no primary.
var noSource netip.AddrPort

// storeFence stores the fence on the member if the member's fence accepts it, runs
// the statements that more returns, and reloads the configuration. The fence lock is
// held throughout. It returns the member's status before and after.
func storeFence(ctx context.Context, conn *pgconn.PgConn, fence group.Fence, more func(group.Status) []string) (before, after group.Status, err error) {
	rows, err := execBatch(ctx, conn, TakeFenceLockSQL, StatusSQL)
	if err != nil {
		return before, after, err
	}
	if before, err = parseStatus(rows[1]); err != nil {
		return before, after, err
	}
	if !before.Fence.Accepts(fence) {
		_, _ = queryRow(ctx, conn, DropFenceLockSQL)
		return before, after, errors.Errorf("term %d refused: the member holds term %d of host %s",
			fence.Term, before.Fence.Term, before.Fence.Host)
	}
	steps := append([]string{SetFenceSQL(fence)}, more(before)...)
	steps = append(steps, ReloadSQL, DropFenceLockSQL, StatusSQL)
	if rows, err = execBatch(ctx, conn, steps...); err != nil {
		return before, after, err
	}
	after, err = parseStatus(rows[len(rows)-1])
	return before, after, err
}
