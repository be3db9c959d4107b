package peer

import "testing"

// Guards against a message of another instance that makes the receiver panic.
func FuzzDecode(f *testing.F) {
	for _, message := range []any{
		&datagram{Kind: 1, Session: 2, Payload: []byte{0x01}}, &requestHead{Kind: 3, Payload: []byte{0x02}}, &responseHead{Payload: []byte{0x03}},
	} {
		encoded, err := Encode(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = Decode(data, &datagram{})
		_ = Decode(data, &requestHead{})
		_ = Decode(data, &responseHead{})
	})
}
