package rollout

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"bronzehook/config"
	"bronzehook/fault"
)

// Bundle is the whole configuration at one revision, as instances hand it to each other while the table is down.
type Bundle struct {
	Revision uint64 `cbor:"1,keyasint"`
	Digest   string `cbor:"2,keyasint"`
	Author   string `cbor:"3,keyasint"`
	Files    []File `cbor:"4,keyasint"`
	// Known is the highest revision that the sender has heard of. A starting instance adopts no bundle below it.
	Known uint64 `cbor:"5,keyasint"`
}

// PeerSource fetches the configuration from another instance. Fetch returns the highest bundle that it can get, of the
// given revision or above; it fails if no peer has one.
type PeerSource interface {
	Fetch(ctx context.Context, revision uint64) (Bundle, error)
}

const opBundle = "read configuration bundle"

// bundleDecoding bounds what a peer's message may make this instance allocate.
var bundleDecoding = mustDecMode(cbor.DecOptions{MaxArrayElements: config.MaxFiles, MaxNestedLevels: 8})

func mustDecMode(options cbor.DecOptions) cbor.DecMode {
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the bundle as CBOR.
func (b Bundle) Encode() ([]byte, error) { return encode("bundle", b) }

// DecodeBundle reads a bundle and verifies it.
func DecodeBundle(data []byte) (Bundle, error) {
	var b Bundle
	if err := bundleDecoding.Unmarshal(data, &b); err != nil {
		return Bundle{}, fault.New(fault.CodeTruncated, opBundle, "bundle cannot be decoded: %s", err)
	}
	return b, b.Verify()
}

// Verify checks the files against the digest.
func (b Bundle) Verify() error {
	if got := digestFiles(b.Files); got != b.Digest {
		return fault.New(fault.CodeTruncated, opBundle, "revision %d has digest %s, its files have %s", b.Revision, b.Digest, got)
	}
	return nil
}
