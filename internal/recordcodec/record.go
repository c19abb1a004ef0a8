package recordcodec

import (
	"encoding/json"

	"github.com/pkg/errors"

	"pearlatch/core/group"
	"pearlatch/core/kv"
	"pearlatch/core/leadership"
)

// The JSON encoding of a leadership.Record in the store.
type (
	wireRecord struct {
		Holder    string            `json:"holder"`
		Epoch     int64             `json:"epoch,omitempty"`
		Term      uint64            `json:"term"`
		Members   []wireIncarnation `json:"members,omitempty"`
		FloorTerm uint64            `json:"floor_term,omitempty"`
		FloorLSN  uint64            `json:"floor_lsn,omitempty"`
		Ordered   string            `json:"ordered,omitempty"`
		// HandedBack is true once the holder has handed the role back.
		HandedBack bool     `json:"handed_back,omitempty"`
		Grantees   []string `json:"grantees,omitempty"`
		Granters   []string `json:"granters,omitempty"`
		// ReserveHolders is missing if any of the grantees may hold reserves, as in records of the previous version.
		ReserveHolders []string `json:"reserve_holders,omitempty"`
	}
	wireIncarnation struct {
		Member string `json:"member"`
		Born   int64  `json:"born,omitempty"`
	}
)

// Encode returns the stored form of a record.
func Encode(r leadership.Record) ([]byte, error) {
	out := wireRecord{
		Holder: r.Holder, Epoch: int64(r.Epoch), Term: uint64(r.Term), Ordered: r.PendingPromotion, HandedBack: r.HandedBack, Grantees: r.PortionHolders, Granters: r.QuotaGranters, ReserveHolders: r.ReserveHolders,
		FloorTerm: uint64(r.Floor.Term), FloorLSN: uint64(r.Floor.LSN),
	}
	for _, m := range r.Members {
		out.Members = append(out.Members, wireIncarnation{m.Member, m.Incarnation})
	}
	return json.Marshal(out)
}

// Decode parses the stored form of a record.
func Decode(value []byte) (leadership.Record, error) {
	var in wireRecord
	if err := json.Unmarshal(value, &in); err != nil {
		return leadership.Record{}, errors.Wrap(err, "decode leadership record")
	}
	out := leadership.Record{
		Holder: in.Holder, Epoch: kv.Epoch(in.Epoch), Term: group.Term(in.Term), PendingPromotion: in.Ordered, HandedBack: in.HandedBack, PortionHolders: in.Grantees, QuotaGranters: in.Granters, ReserveHolders: in.ReserveHolders,
		Floor: group.Position{Term: group.Term(in.FloorTerm), LSN: group.LSN(in.FloorLSN)},
	}
	for _, m := range in.Members {
		out.Members = append(out.Members, leadership.MemberRun{Member: m.Member, Incarnation: m.Born})
	}
	return out, nil
}

// DecodeItem parses the record that the store returned. An item without a value is a missing record, the zero value.
func DecodeItem(i kv.Item) (leadership.StoredRecord, error) {
	if len(i.Value) == 0 {
		return leadership.StoredRecord{}, nil
	}
	r, err := Decode(i.Value)
	if err != nil {
		return leadership.StoredRecord{}, err
	}
	return leadership.NewStoredRecord(r, i.Revision), nil
}
