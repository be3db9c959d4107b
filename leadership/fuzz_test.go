package leadership

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Guards against a row of another writer in the tables of leadership that makes a reader panic.
func FuzzDecodeRows(f *testing.F) {
	lease := Lease{Holder: "a", Incarnation: 1, Epoch: 2, Renewals: 3, Sent: 4, Valid: 800}
	member, err := cbor.Marshal(&Member{Name: "a", CPUShare: 0.8, Addr: "10.0.0.1:80"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(lease.encode())
	f.Add(member)
	f.Add([]byte{0x87, 0x61, 'a', 0x01, 0x02, 0xf4, 0x03, 0x1b, 0xff})
	f.Fuzz(func(t *testing.T, value []byte) {
		var stored Lease
		if stored.decode(value) == nil && stored.duration() == 0 {
			t.Error("a lease without a duration")
		}
		var m Member
		if m.decode(value) == nil {
			RankingOf([]Member{m, {Name: "b", CPUShare: 0.5}}, m.Name, "b")
			HasSuccessor([]Member{m, {Name: "b", CPUShare: 0.5}}, "b", 0.8)
		}
	})
}
