package membership

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzehook/api"
)

// heartbeat is the message that instances exchange every second. The sender's ID comes with the connection and its
// session with the message, so neither is repeated here. The message stays below 200 bytes at 9 instances.
type heartbeat struct {
	_ struct{} `cbor:",toarray"`
	// Sent is the sender's monotonic reading in milliseconds; the receiver echoes the highest that it has heard.
	Sent uint64
	// EchoSession is the lower half of the session whose Sent is echoed. A restarted instance ignores echoes of its
	// previous run.
	EchoSession     uint32
	Echo            uint64
	Revision        uint64
	EndpointVersion uint64
	Flags           uint8
	// Ages says for how long the sender has not heard each other instance of its region; see encodeAge.
	Ages []byte
	// Self describes the sender until the receiver has echoed it.
	Self *api.Instance
}

const (
	flagLeaving uint8 = 1 << iota
	flagStoreReachable
)

const (
	ageHashBytes  = 5
	ageEntryBytes = ageHashBytes + 1
	// ageUnits is the number of age units in the silence of the authority rule. An age takes one byte and saturates at
	// about four times the silence, beyond which the exact value changes no decision.
	ageUnits = 64
)

// ageKey is the shortened hash of an instance's ID. With 40 bits, two of 100 instances collide with a probability below
// one in 200 million.
func ageKey(id api.InstanceID) uint64 {
	return xxhash.Sum64String(string(id)) >> (64 - 8*ageHashBytes)
}

// appendAge encodes the age rounded down, because a longer silence than the real one could end authority wrongly.
func appendAge(data []byte, id api.InstanceID, age, silence time.Duration) []byte {
	var key [8]byte
	binary.BigEndian.PutUint64(key[:], ageKey(id))
	data = append(data, key[8-ageHashBytes:]...)
	units := min(age*ageUnits/silence, math.MaxUint8)
	return append(data, byte(units))
}

// decodeAges calls visit for each entry.
func decodeAges(data []byte, silence time.Duration, visit func(key uint64, age time.Duration)) {
	for len(data) >= ageEntryBytes {
		var key [8]byte
		copy(key[8-ageHashBytes:], data)
		visit(binary.BigEndian.Uint64(key[:]), time.Duration(data[ageHashBytes])*silence/ageUnits)
		data = data[ageEntryBytes:]
	}
}
