package jobs

import "testing"

// Guards against a stored row of another writer that makes the decoder panic, or that is accepted although its indices or
// numbers cannot be used.
func FuzzDecode(f *testing.F) {
	spec := Spec{ID: "a", Queue: "q", Steps: []Step{{Count: 2}, {Count: 1, After: []int{0}}}}
	record := Record{Tasks: []TaskRecord{{Step: 1, Attempt: 3, Ended: 2, Worker: "w", Born: 7}}}
	f.Add(Encode(&spec), Encode(&record))
	f.Add([]byte{}, []byte{0x81})
	f.Add([]byte{0xff}, Encode(&Record{Tasks: []TaskRecord{{Index: -1}, {Attempt: 1 << 62}}}))
	f.Fuzz(func(t *testing.T, encodedSpec, encodedRecord []byte) {
		decoded, err := Decode[Spec]("job", encodedSpec)
		if err != nil || decoded.Validate() != nil {
			decoded = &spec
		}
		for i := range decoded.Steps {
			if decoded.Steps[i].Count > maxTasks {
				t.Errorf("accepted a step of %d tasks", decoded.Steps[i].Count)
			}
		}
		got, err := Decode[Record]("progress", encodedRecord)
		if err != nil || got.Validate(decoded) != nil {
			return
		}
		for _, task := range got.Tasks {
			if task.Occurrence < 0 || task.Occurrence >= decoded.Occurrences() || task.Index < 0 || task.Index >= decoded.Steps[task.Step].Count {
				t.Errorf("accepted %+v", task)
			}
		}
	})
}
