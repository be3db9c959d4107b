package membership

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzehook/api"
)

// heartbeat is the message that instances exchange every second. The sender's ID comes with the connection and its
// incarnation with the datagram, so neither is repeated here. With 9 instances the message stays below 200 bytes.
type heartbeat struct {
	_ struct{} `cbor:",toarray"`
	// Sent is the reading of the sender's monotonic clock in milliseconds. The receiver echoes the highest one received.
	Sent uint64
	// EchoSession is the lower half of the incarnation whose Sent is echoed. A restarted instance ignores echoes of its
	// previous incarnation.
	EchoSession     uint32
	Echo            uint64
	Revision        uint64
	EndpointVersion uint64
	Flags           uint8
	// Ages holds the time since the sender's last heartbeat from each other instance of its region; see appendAge.
	Ages []byte
	// Self describes the sender. It is included until the receiver has echoed a heartbeat of the sender's incarnation.
	Self *api.Instance
}

const (
	flagLeaving uint8 = 1 << iota
	flagStoreReachable
)

const (
	ageHashBytes  = 5
	ageEntryBytes = ageHashBytes + 1
	// ageUnitsPerExpiryDelay is the number of age units in the expiry delay of an instance lease. An age takes one byte and
	// saturates at about four times the expiry delay, beyond which the exact value changes no decision.
	ageUnitsPerExpiryDelay = 64
)

// ageKey returns the shortened hash of an instance's ID. With 40 bits, the probability of a collision among 100
// instances is below one in 200 million.
func ageKey(id api.InstanceID) uint64 {
	return xxhash.Sum64String(string(id)) >> (64 - 8*ageHashBytes)
}

// appendAge appends the encoded age of an instance's last heartbeat. The age is rounded down, because a reported age
// above the real one could make a lease expire wrongly.
func appendAge(data []byte, id api.InstanceID, age, expiryDelay time.Duration) []byte {
	var key [8]byte
	binary.BigEndian.PutUint64(key[:], ageKey(id))
	data = append(data, key[8-ageHashBytes:]...)
	units := min(age*ageUnitsPerExpiryDelay/expiryDelay, math.MaxUint8)
	return append(data, byte(units))
}

// decodeAges calls visit for each encoded age.
func decodeAges(data []byte, expiryDelay time.Duration, visit func(key uint64, age time.Duration)) {
	for len(data) >= ageEntryBytes {
		var key [8]byte
		copy(key[8-ageHashBytes:], data)
		visit(binary.BigEndian.Uint64(key[:]), time.Duration(data[ageHashBytes])*expiryDelay/ageUnitsPerExpiryDelay)
		data = data[ageEntryBytes:]
	}
}
