package host

import (
	"context"
	"sync"
	"time"

	"pearlatch/core/config"
	"pearlatch/io/etcd"
	"pearlatch/io/operator"
)

const (
	// submitTimeout bounds a submission, the settling of lost answers included.
	submitTimeout = 20 * time.Second
	// maxConcurrentProbes is how many hosts are asked at once for their revision.
	maxConcurrentProbes = 32
)

// operatorConfig shows the configuration to operatorConfig.
type operatorConfig struct{ *Host }

var _ operator.Configuration = operatorConfig{}

// InForce implements operator.Configuration.
func (o operatorConfig) InForce() config.Revision { return o.conf.inForce() }

// Submit implements operator.Configuration.
func (o operatorConfig) Submit(ctx context.Context, base uint64, author string, text []byte) (config.Revision, error) {
	doc, err := config.Parse(text)
	if err != nil {
		return config.Revision{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	r, err := etcd.Submit(ctx, o.store, base, author, config.Encode(doc))
	if err != nil {
		return config.Revision{}, err
	}
	o.adoptRevision(r, "operator")
	return r, nil
}

// History implements operator.Configuration.
func (o operatorConfig) History(ctx context.Context) ([]config.Revision, error) {
	return etcd.History(ctx, o.store)
}

// HostRevisions implements operator.Configuration.
func (o operatorConfig) HostRevisions(ctx context.Context) []operator.HostRevision {
	live := o.table.Live()
	out := make([]operator.HostRevision, len(live))
	slots := make(chan struct{}, maxConcurrentProbes)
	var wg sync.WaitGroup
	for i, h := range live {
		out[i] = operator.HostRevision{Host: h.ID}
		if h.ID == o.settings.Host {
			out[i].Revision, out[i].Answered = o.conf.inForceNumber(), true
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, pullTimeout)
			defer cancel()
			if answer, err := o.client.Probe(ctx, h.Peer, o.ownProbe()); err == nil {
				out[i].Revision, out[i].Answered = answer.Revision, true
			}
		})
	}
	wg.Wait()
	return out
}
