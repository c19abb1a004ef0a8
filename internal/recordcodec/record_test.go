package recordcodec

import (
	"slices"
	"testing"

	"pearlatch/core/group"
	"pearlatch/core/leadership"
)

// Encoding and decoding a record preserves its contents, and an invalid encoding is refused.
func TestRecordRoundTrip(t *testing.T) {
	r := leadership.Record{
		Holder: "h1", Term: 3, Floor: group.Position{Term: 2, LSN: 77}, PendingPromotion: "b", PortionHolders: []string{"h1", "h2"}, ReserveHolders: []string{"h2"},
		Members: []leadership.MemberRun{{Member: "a", Incarnation: 5}, {Member: "b"}},
	}
	value, err := Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(value)
	if err != nil || !got.SameMembers(r.Members) || got.PendingPromotion != "b" || got.Floor != r.Floor || got.Term != r.Term || got.Holder != "h1" || !slices.Equal(got.ReserveHolders, r.ReserveHolders) {
		t.Errorf("%+v, %v", got, err)
	}
	if got, err := Decode([]byte(`{"holder":"h1","grantees":["h1"]}`)); err != nil || got.ReserveHolders != nil {
		t.Errorf("reserve holders %v in a record of the previous version, %v", got.ReserveHolders, err)
	}
	if _, err := Decode([]byte("{")); err == nil {
		t.Error("an invalid record was decoded without an error")
	}
}
