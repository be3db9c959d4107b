// Package dedup deduplicates non-idempotent requests: a request with an idempotency key is executed at most once,
// although the caller may retry it through any instance and the instance that executed it may crash. The owner of the
// key's shard records the key in its deduplication table, waits until the backup instance has it too, checks that it
// still owns the shard and only then sends the request.
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

// Shard is a partition of the idempotency keys with one owner and at most one backup.
type Shard struct {
	Region string `cbor:"1,keyasint"`
	Number int    `cbor:"2,keyasint"`
}

// Unit returns the ownership unit of the shard.
func (s Shard) Unit() api.Unit {
	return api.Unit{Kind: api.UnitShard, Scope: s.Region, Name: strconv.Itoa(s.Number)}
}

// ShardOf returns the shard of a key. A key with the prefix "REGION:" of a known region belongs to a shard of that
// region; other keys are hashed over the shards of all regions. The result does not depend on the order of the regions.
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
