package sizing

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"bronzehook/fault"
)

// exportVersion is the version of the exported format and must be raised when the format changes. Import rejects other
// versions; losing the model only reduces the accuracy of sizes and run times.
const exportVersion = 1

type exported struct {
	Version   int               `cbor:"1,keyasint"`
	Origin    int64             `cbor:"2,keyasint"`
	Histories []exportedHistory `cbor:"3,keyasint"`
}

type exportedHistory struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	CPU      exportedHistogram
	Memory   exportedHistogram
	RunTimes exportedHistogram
}

// exportedHistogram holds the non-empty buckets of a histogram.
type exportedHistogram struct {
	_       struct{} `cbor:",toarray"`
	Count   int
	Buckets []int
	Weights []float64
}

// Export returns the model encoded as CBOR.
func (m *Model) Export() ([]byte, error) {
	out := exported{Version: exportVersion, Origin: m.referenceTime.UnixNano()}
	for _, h := range m.histories {
		out.Histories = append(out.Histories, exportedHistory{
			Name: h.name, CPU: h.cpu.export(), Memory: h.memory.export(), RunTimes: h.runTimes.export(),
		})
	}
	data, err := cbor.Marshal(out)
	return data, errors.Wrap(err, "sizing export")
}

// Import returns a model with the given options and the exported content, truncated to MaxWorkloads.
func Import(data []byte, opts Options) (*Model, error) {
	var in exported
	if err := cbor.Unmarshal(data, &in); err != nil {
		return nil, errors.Wrap(fault.New(fault.CodeInvalid, "sizing import", "%v", err), "sizing")
	}
	if in.Version != exportVersion {
		return nil, fault.New(fault.CodeInvalid, "sizing import", "version %d, want %d", in.Version, exportVersion)
	}
	m := New(opts)
	if len(in.Histories) > 0 {
		m.referenceTime = time.Unix(0, in.Origin)
	}
	for i := range in.Histories[:min(len(in.Histories), opts.MaxWorkloads)] {
		e := &in.Histories[i]
		h := m.ensureHistory(e.Name)
		h.referenced = false
		h.cpu.restore(&e.CPU)
		h.memory.restore(&e.Memory)
		h.runTimes.restore(&e.RunTimes)
	}
	return m, nil
}

func (h *histogram) export() exportedHistogram {
	out := exportedHistogram{Count: h.count}
	for bucket, weight := range h.weights {
		if weight > 0 {
			out.Buckets = append(out.Buckets, bucket)
			out.Weights = append(out.Weights, weight)
		}
	}
	return out
}

func (h *histogram) restore(in *exportedHistogram) {
	h.count = in.Count
	for i, bucket := range in.Buckets {
		if bucket >= 0 && bucket < bucketCount && i < len(in.Weights) {
			h.weights[bucket] = in.Weights[i]
			h.total += in.Weights[i]
		}
	}
}
