package scheduler

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"bronzehook/fault"
	"bronzehook/scheduler/interference"
	"bronzehook/scheduler/sizing"
)

// learned is what the coordinator keeps in the object store. Its loss costs accuracy only.
type learned struct {
	Interference []byte `cbor:"1,keyasint"`
	Sizing       []byte `cbor:"2,keyasint"`
}

// Export returns what was learned about interference and sizes as CBOR.
func (e *Engine) Export() ([]byte, error) {
	var out learned
	var err error
	if out.Interference, err = e.Interference.Export(); err != nil {
		return nil, err
	}
	if out.Sizing, err = e.Sizing.Export(); err != nil {
		return nil, err
	}
	data, err := cbor.Marshal(out)
	return data, errors.Wrap(err, "scheduler export")
}

// Restore replaces what was learned by exported content. On failure the engine keeps what it has.
func (e *Engine) Restore(data []byte) error {
	var in learned
	if err := cbor.Unmarshal(data, &in); err != nil {
		return errors.Wrap(fault.New(fault.CodeInvalid, "scheduler restore", "%v", err), "scheduler")
	}
	pairs, err := interference.Import(in.Interference, e.opts.Interference)
	if err != nil {
		return err
	}
	sizes, err := sizing.Import(in.Sizing, e.opts.Sizing)
	if err != nil {
		return err
	}
	e.Interference, e.Sizing = pairs, sizes
	return nil
}
