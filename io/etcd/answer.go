package etcd

import (
	"bytes"
	"context"

	"github.com/pkg/errors"
)

// ErrOtherAnswer means that an answer belongs to another call: a connection matches answers to calls by their order alone,
// and an answer may come twice. Nothing is known about the outcome of the call.
var ErrOtherAnswer = errors.New("the answer belongs to another call")

// otherAnswer returns an ErrOtherAnswer with the reason, and closes the connections that are not in use, since the right
// answer may still arrive on one.
func (e *Etcd) otherAnswer(format string, args ...any) error {
	e.client.CloseIdleConnections()
	return errors.Wrapf(ErrOtherAnswer, format, args...)
}

// getRange reads a range. The answer must hold keys of the range only. Its revision isn't compared with earlier ones: it is
// lower after the service was restored from a backup.
func (e *Etcd) getRange(ctx context.Context, r rangeRequest) (rangeResponse, error) {
	out, err := call[rangeResponse](ctx, e, "/v3/kv/range", r)
	if err != nil {
		return out, err
	}
	for _, kv := range out.KVs {
		inRange := bytes.Equal(kv.Key, r.Key) || len(r.RangeEnd) > 0 && bytes.Compare(kv.Key, r.Key) > 0 && bytes.Compare(kv.Key, r.RangeEnd) < 0
		if !inRange {
			return out, e.otherAnswer("key %q, want %q", kv.Key, r.Key)
		}
	}
	return out, nil
}
