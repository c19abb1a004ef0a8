package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pearlatch/core/kv"
)

// storeSnapshot returns what a store holds for n hosts before as many groups of three members, without the configuration.
func storeSnapshot(n int) kv.Snapshot {
	random := rand.New(rand.NewPCG(1, 2))
	s := kv.Snapshot{Revision: kv.Revision(7 * n)}
	add := func(key, value string) {
		s.Items = append(s.Items, kv.Item{Key: key, Value: []byte(value), Revision: kv.Revision(len(s.Items) + 1), Created: int64(len(s.Items) + 1)})
	}
	for i := range n {
		host := fmt.Sprintf("frontend-attica-marousi-%d", i)
		group := fmt.Sprintf("gr%05x", random.Uint32()>>12)
		add("pearlatch/hosts/"+host, fmt.Sprintf("attica-marousi 10.1.%d.%d:8782 cores=0.192", i>>8&255, i&255))
		add("pearlatch/duty/"+group, host)
		var members string
		for m := range 3 {
			id := fmt.Sprintf("i-%010x", random.Uint64()>>24)
			members += fmt.Sprintf(`{"member":%q,"born":%d},`, id, 1788888888000+random.IntN(100000))
			add("servers/"+id, fmt.Sprintf(`{"service":%q,"address":"10.%d.%d.%d:8268","zone":"attica-koropi","version":"3.1","slots":3,"state":"ready","cold_remaining_ms":0,"sequence":%d,"db_role":"replica","born":%d}`,
				group, m+1, 64+i>>8&255, i&255, i, 1788888888000+random.IntN(100000)))
		}
		add("pearlatch/leadership/"+group, fmt.Sprintf(`{"holder":%q,"term":1,"members":[%s],"floor_term":1,"floor_lsn":%d,"granters":[%q]}`, host, members[:len(members)-1], random.IntN(1000), host))
	}
	return s
}

// BenchmarkWholeList is what a host that starts is sent by another one, and what putting it together costs.
func BenchmarkWholeList(b *testing.B) {
	for _, n := range []int{10, 195, 986, 2000, 10000} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			s := storeSnapshot(n)
			plain, err := encoding{}.Marshal(&listMessage{s.Items})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			var packed []byte
			for b.Loop() {
				if packed, err = (&compressor{}).compressSnapshot(s); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(plain))/1e6, "plain_MB")
			b.ReportMetric(float64(len(packed))/1e6, "packed_MB")
		})
	}
}

// BenchmarkReadWholeList is what it costs the host that starts.
func BenchmarkReadWholeList(b *testing.B) {
	for _, n := range []int{10, 195, 986, 2000} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			packed, err := (&compressor{}).compressSnapshot(storeSnapshot(n))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := decompressItems(packed); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
