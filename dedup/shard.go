// Package dedup keeps the ledger of non-idempotent requests, so that a key runs at most once across the caller's
// retries through any instance and across the death of the instance that held it. The owner of a key's shard records
// the key, waits until the deputy has it too, checks its authority and only then sends.
package dedup

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"bronzehook/api"
)

// ShardsPerRegion is the number of request shards of a region.
const ShardsPerRegion = 16

// Shard is a part of the keys with one owner and one deputy.
type Shard struct {
	Region string `cbor:"1,keyasint"`
	Number int    `cbor:"2,keyasint"`
}

// Unit returns the shard's unit.
func (s Shard) Unit() api.Unit {
	return api.Unit{Kind: api.UnitShard, Scope: s.Region, Name: strconv.Itoa(s.Number)}
}

// ShardOf returns the shard of a key. A key that begins with a known region and a colon stays in that region; for other
// keys the hash picks among the shards of all regions. The result does not depend on the order of the regions.
func ShardOf(key string, regions []string) Shard {
	hash := xxhash.Sum64String(key)
	if region, _, ok := strings.Cut(key, ":"); ok && slices.Contains(regions, region) {
		return Shard{Region: region, Number: int(hash % ShardsPerRegion)}
	}
	if len(regions) == 0 {
		return Shard{Number: int(hash % ShardsPerRegion)}
	}
	sorted := slices.Sorted(slices.Values(regions))
	index := int(hash % uint64(len(sorted)*ShardsPerRegion))
	return Shard{Region: sorted[index/ShardsPerRegion], Number: index % ShardsPerRegion}
}
