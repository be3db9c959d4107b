package jobs

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
)

// Guards against a progress record that differs from the entries, because the encoding of an entry was kept although it
// has changed, or that other builds cannot decode.
func TestRecordEncoderEncodesTheCurrentEntries(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, length := range []int{1, 23, 24, 255, 256, 70_000} {
		var encoder RecordEncoder
		var entries []TaskRecord
		for index := range length {
			entries = append(entries, TaskRecord{Index: index, Attempt: 1, Worker: "w"})
		}
		check := func(change string) {
			t.Helper()
			want := Encode(&Record{Tasks: entries})
			if got := encoder.Encode(entries); !bytes.Equal(got, want) {
				t.Fatalf("%d entries, %s: %d bytes differ from the %d of the record", length, change, len(got), len(want))
			}
		}
		check("first")
		check("unchanged")
		for range 5 {
			changed := &entries[random.IntN(length)]
			changed.Ended, changed.Worker, changed.Checkpoint = changed.Attempt, "", fmt.Sprint(random.IntN(9))
			check("one changed")
		}
		entries = append([]TaskRecord{{Index: length, Done: true}}, entries...)
		check("one inserted")
		entries = entries[:length/2+1]
		check("some removed")
	}
}
