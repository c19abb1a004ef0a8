package peer

import (
	"encoding/hex"
	"flag"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/group"
	"pearlatch/core/kv"
	"pearlatch/core/load"
	"pearlatch/core/quota"
	"pearlatch/core/quota/reserve"
	"pearlatch/internal/follow"
	"pearlatch/internal/gateway"
)

var update = flag.Bool("update", false, "write the golden files")

// samples returns messages between gateways, by the names of their golden files.
func samples() map[string]message {
	position := group.Position{Term: 3, LSN: 1207}
	reply := peerReplyMessage{
		Process: "h2-1f", Declined: gateway.PrimaryUnreachable, LastWrite: position,
		Reply: gateway.Reply{
			Rows: []string{"qhzk", ""}, Signature: "7.1f3", State: gateway.InTransaction,
			Failure: &gateway.Failure{Code: gateway.Busy, Detail: "no room"},
		},
	}
	loaded := peerReplyMessage{Process: "h2-1f", LoadSequence: 812, Load: load.Report{Waiting: 41, Rate: 212.5, Delay: 120 * time.Millisecond}}
	out := map[string]message{
		"link_request": &linkRequest{lane: 4, peerRequestMessage: peerRequestMessage{version: Version, PeerRequest: gateway.PeerRequest{
			From: "h1-2a", Serial: 7, To: "h2-1f", Group: "lessons", Database: "booking",
			Route: gateway.Route{
				Name: "r", Class: freshness.MaxAge{Age: 1500 * time.Millisecond}, Timeout: 800 * time.Millisecond,
				LatencyTarget: 200 * time.Millisecond, Priority: 2,
			},
			Age: 3 * time.Millisecond, BeginAge: time.Second, LastWrite: position, Values: map[string]string{"v": "1"},
			Prepared: &gateway.PreparedStatement{Writes: true, Text: "q2c"}, Begin: &gateway.Begin{ReadOnly: true}, WaitForPrimary: true, Continues: true,
			Request: gateway.Request{ID: "5c0e", Text: "EXEC s1 1a4", Statement: gateway.Execute{Name: "s1", Arguments: "1a4"}},
		}}},
		"link_close":        &linkRequest{lane: 4, closes: true},
		"link_recall":       &linkRequest{lane: 5, recall: &recallRequest{from: "h1-2a", serial: 7}},
		"link_recalled":     &linkReply{lane: 5, recalled: &recallReply{running: true}},
		"link_reply":        &linkReply{lane: 4, peerReplyMessage: reply},
		"link_reply_serial": &linkReply{lane: 4, serial: 7, peerReplyMessage: loaded},
		"link_reply_load":   &linkReply{lane: 4, peerReplyMessage: loaded},
		"lease_request":     &leaseRequest{Group: "lessons", Host: "h1", Healthy: true, Answered: "i-7f", AnswerAge: 12 * time.Millisecond},
		"lease_reply": &leaseReply{
			Granted: 950 * time.Millisecond, Restricted: true, Target: "i-80", Member: "i-7f", Term: 3, Position: position, Age: 12 * time.Millisecond,
		},
		"lease_revocation": &linkRequest{lane: 5, revokeLease: &revokeLeaseRequest{Group: "lessons", Member: "i-7f", Planned: true, Target: "i-80"}},
		"recall_request":   &recallRequest{from: "h1-2a", serial: 7},
		"recall_reply":     &recallReply{running: true, process: "h2-1f", reply: &reply},
		"member_request":   &memberRequest{group: "lessons", member: "i-7f"},
		"member_reply": &memberReply{
			IsPrimary: true, Received: position, Term: 3, Fenced: 4, Lag: 12 * time.Millisecond, Running: 2, Connections: 17,
		},
		"reserve_request": &reserveRequest{Shard: "lessons", Host: "h1", Process: "h1-2a", Request: reserve.Request{ID: 7, Accounts: []reserve.Demand{{Account: "a1", Waiting: 2}}}},
		"reserve_reply": &reserveReply{Declined: true, Grants: []reserve.Grant{
			{Account: "a1", Tokens: 1, RetryAfter: 30 * time.Millisecond, Interval: 20 * time.Millisecond},
		}},
		"quota_request": &quotaRequest{Shard: "lessons", Host: "h1", Process: "h1-2a", Request: quota.Request{
			ID: 7, LastAnswered: 6, FencingToken: 40, KeepaliveInterval: 250 * time.Millisecond,
			Accounts: []quota.AccountRequest{{Account: "a1", HeldSerial: 3, Tokens: 1.5, Returned: 1, Demand: 2.5, Waiting: 1, Prefetch: 0.5, Reserve: 0.25}},
		}},
		"quota_reply": &quotaReply{Response: quota.Response{
			Suspended: true, ActivateAfter: 950 * time.Millisecond, Partial: true,
			Grants: []quota.Grant{{Account: "a1", Serial: 4, Rate: 2.5, Cap: 3, TTL: time.Second, Tokens: 1, Prefetched: 0.5, RetryAfter: time.Millisecond, Interval: time.Millisecond}},
		}},
	}
	maps.Copy(out, newsSamples())
	return out
}

// newsSamples returns the samples that carry updates of the store.
func newsSamples() map[string]message {
	item := kv.Item{Key: "config", Value: []byte("v"), Revision: 9}
	return map[string]message{
		"feed_request":        &feedRequest{FeedRequest: follow.FeedRequest{After: 412}},
		"feed_request_packed": &feedRequest{FeedRequest: follow.FeedRequest{After: 412}, readsCompressedLists: true},
		"feed_request_of_a_named_receiver": &feedRequest{
			FeedRequest: follow.FeedRequest{After: 412, Receiver: netip.MustParseAddrPort("10.1.0.8:8782")}, readsCompressedLists: true,
		},
		"news_elsewhere": &newsMessage{StoreUpdate: follow.StoreUpdate{
			Referrals: []netip.AddrPort{netip.MustParseAddrPort("10.1.0.8:8782"), netip.MustParseAddrPort("10.2.0.6:8782")}, Age: time.Hour,
		}, compressor: &compressor{}},
		"news_with_a_path": &newsMessage{StoreUpdate: follow.StoreUpdate{
			Update: kv.Update{Snapshot: kv.Snapshot{Revision: 10}}, Age: time.Second,
			Path: []netip.AddrPort{netip.MustParseAddrPort("10.1.0.8:8782"), netip.MustParseAddrPort("[fd00::6]:8782")},
		}, compressor: &compressor{}},
		"feed_request_of_a_later_epoch": &feedRequest{FeedRequest: follow.FeedRequest{After: kv.NewRevision(3, 412)}},
		"news_of_a_later_epoch": &newsMessage{StoreUpdate: follow.StoreUpdate{Update: kv.Update{
			Snapshot: kv.Snapshot{Items: []kv.Item{{Key: "k", Value: []byte("v"), Revision: kv.NewRevision(3, 9), Created: 4}}, Revision: kv.NewRevision(3, 10)},
			Full:     true,
		}}, compressor: &compressor{}},
		"news": &newsMessage{StoreUpdate: follow.StoreUpdate{Update: kv.Update{
			Snapshot: kv.Snapshot{Items: []kv.Item{item, {Key: "gone", Revision: 10, Removed: true}}, Revision: 10},
			Full:     true,
		}, Age: time.Second}, compressor: &compressor{}},
	}
}

// Hosts of two versions exchange messages while a fleet is upgraded, so a message's encoding must not change unnoticed.
func TestGatewayMessagesOnTheWire(t *testing.T) {
	for name, m := range samples() {
		got, err := encoding{}.Marshal(m)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		path := filepath.Join("testdata", name+".hex")
		if *update {
			if err := os.WriteFile(path, []byte(hex.EncodeToString(got)+"\n"), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if hex.EncodeToString(got) != strings.TrimSpace(string(want)) {
			t.Errorf("%s is encoded as\n%x, want\n%s", name, got, want)
		}
	}
}

func TestGatewayMessagesRoundTrip(t *testing.T) {
	for name, m := range samples() {
		text, err := encoding{}.Marshal(m)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		out := reflect.New(reflect.TypeOf(m).Elem()).Interface().(message)
		if err := (encoding{}).Unmarshal(text, out); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if n, ok := out.(*newsMessage); ok {
			n.compressor = m.(*newsMessage).compressor
		}
		if !reflect.DeepEqual(out, m) {
			t.Errorf("%s is decoded as\n%+v, want\n%+v", name, out, m)
		}
	}
}

// Guards against a text of a caller or member that reaches it changed by way of another host.
func TestTextsOfAnyBytesRoundTrip(t *testing.T) {
	text := "x\nQUERY 9 WRITE k y\r\n\r "
	for b := range 256 {
		text += string([]byte{byte(b)})
	}
	for in, out := range map[message]message{
		&peerRequestMessage{PeerRequest: gateway.PeerRequest{
			Group: text, Database: text, Account: text, Values: map[string]string{text: text}, Prepared: &gateway.PreparedStatement{Text: text},
			Route:   gateway.Route{Name: text, Class: freshness.Latest{}},
			Request: gateway.Request{ID: text, Text: text, Statement: gateway.Execute{Name: text, Arguments: text}},
		}}: &peerRequestMessage{},
		&peerReplyMessage{Reply: gateway.Reply{
			Rows: []string{text, "", text}, Signature: text, Failure: &gateway.Failure{Detail: text},
		}}: &peerReplyMessage{},
	} {
		encoded, err := encoding{}.Marshal(in)
		if err != nil {
			t.Fatal(err)
		}
		if err := (encoding{}).Unmarshal(encoded, out); err != nil || !reflect.DeepEqual(in, out) {
			t.Errorf("%T is decoded as %+v, %v; want %+v", in, out, err, in)
		}
	}
}

func TestStatementsRoundTrip(t *testing.T) {
	for _, s := range []gateway.Statement{
		gateway.Read{}, gateway.Write{}, gateway.Execute{Name: "n", Arguments: "a b"}, gateway.Commit{}, gateway.Rollback{},
	} {
		m := toStatementMessage(s)
		if got := m.statement(); got != s {
			t.Errorf("%T is decoded as %#v", s, got)
		}
	}
	if got := (&statementMessage{kind: 99}).statement(); got != (gateway.Unknown{}) {
		t.Errorf("a kind of a newer version is decoded as %#v", got)
	}
}

// A configuration of many routes is sent to every host at once. Uncompressed, it would fill the network link of a small host
// for a quarter of a second per receiver.
func TestLargeValuesAreCompressedOnce(t *testing.T) {
	item := kv.Item{Key: "config", Value: []byte(strings.Repeat(`{"name":"r-68k7b2e","host":"fiti832ti23"}`, 1400)), Revision: 3}
	c := &compressor{}
	text, err := encoding{}.Marshal(&newsMessage{StoreUpdate: follow.StoreUpdate{Update: kv.Update{Snapshot: kv.Snapshot{Items: []kv.Item{item}}}}, compressor: c})
	if err != nil {
		t.Fatal(err)
	}
	if len(text) > len(item.Value)/20 {
		t.Errorf("%d bytes are compressed to %d", len(item.Value), len(text))
	}
	var out newsMessage
	if err := (encoding{}).Unmarshal(text, &out); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(out.Items, []kv.Item{item}) {
		t.Error("the decoded value differs")
	}
	first, _ := c.compress(item)
	again, _ := c.compress(item)
	if &first[0] != &again[0] {
		t.Error("the same revision was compressed twice")
	}
	item.Revision++
	if next, _ := c.compress(item); &first[0] == &next[0] {
		t.Error("a new revision was not compressed")
	}
}

// When a fleet starts, each host is sent the list of the members of 1,000 groups. Uncompressed, it fills the network link of a
// host that sends it to sixteen others for seconds. A host of a version that does not read compressed lists is sent an
// uncompressed one.
func TestWholeListIsCompressedOnce(t *testing.T) {
	s := kv.Snapshot{Revision: 9}
	for i := range 3000 {
		s.Items = append(s.Items, kv.Item{
			Key: fmt.Sprintf("servers/i-%08x", i*2654435761), Revision: kv.Revision(i + 1), Created: int64(i),
			Value: fmt.Appendf(nil, `{"service":"allergen-core-%d","address":"10.1.%d.%d:5432","zone":"z","slots":3,"state":"ready"}`, i/3, i/256, i%256),
		})
	}
	c := &compressor{}
	newsOf := func(compressed bool) *newsMessage {
		return &newsMessage{StoreUpdate: follow.StoreUpdate{Update: kv.Update{Snapshot: s, Full: true}}, compressor: c, compressList: compressed}
	}
	sizes := map[bool]int{}
	for _, compressed := range []bool{false, true} {
		text, err := encoding{}.Marshal(newsOf(compressed))
		if err != nil {
			t.Fatal(err)
		}
		var out newsMessage
		if err := (encoding{}).Unmarshal(text, &out); err != nil {
			t.Fatal(err)
		}
		if !out.Full || !reflect.DeepEqual(out.Items, s.Items) {
			t.Errorf("compressed %t: the decoded list differs", compressed)
		}
		sizes[compressed] = len(text)
	}
	if sizes[true] > sizes[false]/4 {
		t.Errorf("%d bytes are compressed to %d", sizes[false], sizes[true])
	}
	first, _ := c.compressSnapshot(s)
	again, _ := c.compressSnapshot(s)
	if &first[0] != &again[0] {
		t.Error("the same list was compressed twice")
	}
}

// Guards against hosts that can never join because no host reads the full update that the others send: an update at revision
// 0, and one of more than 65,536 items.
func TestFullUpdatesOfAnySizeAreRead(t *testing.T) {
	for _, c := range []struct {
		items    int
		revision kv.Revision
	}{{10, 0}, {70_000, 9}} {
		s := kv.Snapshot{Revision: c.revision}
		for i := range c.items {
			s.Items = append(s.Items, kv.Item{Key: fmt.Sprintf("key-%08x", i), Value: []byte("12345678"), Revision: kv.Revision(i + 1), Created: 1})
		}
		for _, compressed := range []bool{false, true} {
			var out newsMessage
			m := &newsMessage{StoreUpdate: follow.StoreUpdate{Update: kv.Update{Snapshot: s, Full: true}}, compressor: &compressor{}, compressList: compressed}
			text, err := encoding{}.Marshal(m)
			if err == nil {
				err = encoding{}.Unmarshal(text, &out)
			}
			if err != nil || !reflect.DeepEqual(out.Items, s.Items) {
				t.Errorf("%d items at revision %v, compressed %t: %d items, %v", c.items, c.revision, compressed, len(out.Items), err)
			}
		}
	}
}

// Guards against a host that sends a message which every other host refuses: they would ask for it again and again.
func TestMessagesAboveTheBoundsAreNotSent(t *testing.T) {
	item := kv.Item{Key: "config", Value: make([]byte, 1<<20), Revision: 1}
	large := kv.Snapshot{Revision: 9, Items: slices.Repeat([]kv.Item{item}, maxInflatedSize>>20)}
	for name, m := range map[string]message{
		"snapshot":      &newsMessage{StoreUpdate: follow.StoreUpdate{Update: kv.Update{Snapshot: large, Full: true}}, compressor: &compressor{}, compressList: true},
		"list":          &listMessage{make([]kv.Item, maxListSize/int(reflect.TypeFor[itemMessage]().Size())+1)},
		"large message": &recallRequest{from: strings.Repeat("x", maxMessageSize)},
	} {
		if _, err := (encoding{}).Marshal(m); err == nil || !strings.Contains(err.Error(), "hosts read") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against numbers that are read as others, such as a negative revision or age.
func TestNumbersThatDoNotFitAreRefused(t *testing.T) {
	for name, write := range map[string]func(w *fieldWriter){
		"int64":    func(w *fieldWriter) { w.uint("revision", 1<<63) },
		"duration": func(w *fieldWriter) { w.uint("age_us", math.MaxInt64/1000+1) },
	} {
		text, err := encoding{}.Marshal(rawMessage(write))
		if err != nil {
			t.Fatal(err)
		}
		var out newsMessage
		if err := (encoding{}).Unmarshal(text, &out); err == nil {
			t.Errorf("%s: read as revision %d, age %s", name, out.Revision, out.Age)
		}
	}
}

// rawMessage is a message that consists of what the function writes.
type rawMessage func(w *fieldWriter)

func (m rawMessage) fields(w *fieldWriter) { m(w) }

func (rawMessage) field(string, *fieldReader) bool { return false }

// A small compressed value that expands to a huge one must not exhaust the host's memory.
func TestCompressedValueIsBounded(t *testing.T) {
	bomb, err := deflate(make([]byte, maxInflatedSize+1))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := inflate(bomb); err == nil {
		t.Error("a value above the bound was decompressed")
	}
	if _, err := inflate([]byte("no such thing")); err == nil {
		t.Error("invalid data was decompressed")
	}
}

func FuzzGatewayMessages(f *testing.F) {
	for _, m := range samples() {
		text, err := encoding{}.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(_ *testing.T, text []byte) {
		for _, m := range samples() {
			out := reflect.New(reflect.TypeOf(m).Elem()).Interface().(message)
			// Decoding any bytes must end with a message or an error.
			_ = encoding{}.Unmarshal(text, out)
		}
	})
}
