package scheduler

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"bronzehook/fault"
	"bronzehook/scheduler/interference"
	"bronzehook/scheduler/sizing"
)

// modelState is the encoded form of the models, which the coordinator saves in the object store. Losing it only makes
// predictions less accurate.
type modelState struct {
	Interference []byte `cbor:"1,keyasint"`
	Sizing       []byte `cbor:"2,keyasint"`
}

// Export returns the state of the interference and size models as CBOR.
func (e *Engine) Export() ([]byte, error) {
	var out modelState
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

// Restore replaces the state of the models by exported state. On error the current state is kept.
func (e *Engine) Restore(data []byte) error {
	var in modelState
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
