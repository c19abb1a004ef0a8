package gateway

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/kv"
	"pearlatch/internal/follow"
)

// manyGroupsDecoder decodes a configuration that consists of the number of groups, and member entries that consist of the
// group's name.
type manyGroupsDecoder struct{}

func (manyGroupsDecoder) Config(value []byte) (*Config, error) {
	c := &Config{Version: 1, Routes: map[string]Route{}, Groups: map[string]GroupConfig{}}
	for i := range int(binary.BigEndian.Uint32(value)) {
		name := fmt.Sprint("group-", i)
		c.Groups[name] = GroupConfig{Connections: 88, SyncReplicas: 1}
		c.Routes[name] = Route{Name: name, Group: name, Class: freshness.MaxAge{Age: time.Second}, Timeout: time.Second}
	}
	return c, nil
}

func (manyGroupsDecoder) Member(key string, value []byte) (Member, error) {
	return Member{
		ID: strings.TrimPrefix(key, "members/"), Group: string(value), Addr: netip.MustParseAddrPort("127.0.0.1:1"),
		Zone: "zone-0", Slots: 3, IsPrimary: strings.HasSuffix(key, "-0"),
	}, nil
}

// BenchmarkHostJoins measures the cost at each other host of a host that joins. Each group has three members.
func BenchmarkHostJoins(b *testing.B) {
	for _, c := range []struct{ hosts, groups int }{
		{10, 20}, {195, 20}, {195, 200}, {986, 20}, {986, 250}, {986, 1000}, {2000, 2000}, {10000, 10000},
	} {
		b.Run(fmt.Sprintf("hosts=%d/groups=%d", c.hosts, c.groups), func(b *testing.B) {
			h, join := hostWithManyGroups(c.hosts, c.groups)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if err := h.applyChanges(join(fmt.Sprint("new-", i%2), i)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// hostWithManyGroups returns a host that knows n hosts and the given number of groups, and a function that returns the
// update for a new entry of a host.
func hostWithManyGroups(n, groups int) (*Host, func(name string, turn int) follow.StoreUpdate) {
	h := NewHost(Settings{Host: "host-0", Zone: "zone-0", Peer: netip.MustParseAddrPort("10.0.0.1:1")}, Ports{
		Peers: &fakePeers{}, Decode: manyGroupsDecoder{}, Keys: Keys{Config: "config", MembersPrefix: "members/", OwnPrefix: "own/"},
	}, testLogger(), time.Now)
	update := follow.StoreUpdate{Update: kv.Update{Full: true, Snapshot: kv.Snapshot{Revision: 1, Items: []kv.Item{{Key: "config", Value: binary.BigEndian.AppendUint32(nil, uint32(groups)), Revision: 1}}}}}
	entry := func(i int) []byte { return fmt.Appendf(nil, "zone-%d 10.0.0.1:1", i%5) }
	for i := range n {
		update.Items = append(update.Items, kv.Item{Key: fmt.Sprint("own/hosts/host-", i), Value: entry(i), Revision: 1})
	}
	for i := range groups {
		for m := range 3 {
			update.Items = append(update.Items, kv.Item{Key: fmt.Sprintf("members/%d-%d", i, m), Value: fmt.Append(nil, "group-", i), Revision: 1})
		}
	}
	if err := h.applyChanges(update); err != nil {
		panic(err)
	}
	revision := kv.Revision(1)
	return h, func(name string, turn int) follow.StoreUpdate {
		revision++
		i := kv.Item{Key: "own/hosts/" + name, Value: entry(turn), Revision: revision}
		return follow.StoreUpdate{Update: kv.Update{Snapshot: kv.Snapshot{Revision: revision, Items: []kv.Item{i}}}}
	}
}
