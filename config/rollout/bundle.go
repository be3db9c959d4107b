package rollout

import (
	"context"

	"bronzehook/fault"
)

// Bundle is the complete configuration at one revision. Instances fetch bundles from each other while the table is
// unavailable.
type Bundle struct {
	Revision uint64 `cbor:"1,keyasint"`
	Digest   string `cbor:"2,keyasint"`
	Author   string `cbor:"3,keyasint"`
	Files    []File `cbor:"4,keyasint"`
	// HighestKnown is the highest revision that the sender knows to exist. The receiver refuses the bundle if Revision is lower.
	HighestKnown uint64 `cbor:"5,keyasint"`
}

// PeerSource fetches the configuration from other instances. Fetch returns the bundle with the highest revision that it
// can get, at or above the given revision. It fails if no peer has such a bundle.
type PeerSource interface {
	Fetch(ctx context.Context, revision uint64) (Bundle, error)
}

const opBundle = "read configuration bundle"

// Verify reports an error if the files do not match the digest.
func (b Bundle) Verify() error {
	if got := digestFiles(b.Files); got != b.Digest {
		return fault.New(fault.CodeTruncated, opBundle, "revision %d has digest %s, its files have %s", b.Revision, b.Digest, got)
	}
	return nil
}
