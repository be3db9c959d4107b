package interference

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"bronzehook/fault"
)

// exportVersion is the version of the exported format and must be raised when the format changes. Import rejects other
// versions; losing the model only reduces the accuracy of predictions.
const exportVersion = 1

type exported struct {
	Version int            `cbor:"1,keyasint"`
	Works   []exportedWork `cbor:"2,keyasint"`
	Pairs   []exportedPair `cbor:"3,keyasint"`
}

type exportedWork struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	ID      int32
	Extra   [LoadLevels]float32
	Reports [LoadLevels]uint32
}

type exportedPair struct {
	_       struct{} `cbor:",toarray"`
	Key     uint64
	Extra   [LoadLevels]float32
	Reports [LoadLevels]uint32
}

// Export returns the model encoded as CBOR.
func (m *Model) Export() ([]byte, error) {
	out := exported{Version: exportVersion}
	for _, w := range m.workloads {
		out.Works = append(out.Works, exportedWork{Name: w.name, ID: w.id, Extra: w.extra, Reports: w.reports})
	}
	for _, p := range m.pairs {
		out.Pairs = append(out.Pairs, exportedPair{Key: p.key, Extra: p.extra, Reports: p.reports})
	}
	data, err := cbor.Marshal(out)
	return data, errors.Wrap(err, "interference export")
}

// Import returns a model with the given options and the exported content, truncated to MaxWorkloads and MaxPairs. Pairs of
// omitted workloads are omitted too.
func Import(data []byte, opts Options) (*Model, error) {
	var in exported
	if err := cbor.Unmarshal(data, &in); err != nil {
		return nil, errors.Wrap(fault.New(fault.CodeInvalid, "interference import", "%v", err), "interference")
	}
	if in.Version != exportVersion {
		return nil, fault.New(fault.CodeInvalid, "interference import", "version %d, want %d", in.Version, exportVersion)
	}
	m := New(opts)
	newIDs := make(map[int32]int32, len(in.Works))
	for _, w := range in.Works[:min(len(in.Works), opts.MaxWorkloads)] {
		id := int32(len(m.workloads))
		newIDs[w.ID] = id
		m.slotByName[w.Name] = id
		m.workloads = append(m.workloads, workload{name: w.Name, id: id, extra: w.Extra, reports: w.Reports})
	}
	for _, p := range in.Pairs {
		m.importPair(p, newIDs)
	}
	return m, nil
}

func (m *Model) importPair(p exportedPair, newIDs map[int32]int32) {
	oldVictim, oldAggressor := splitKey(p.Key)
	victim, knownVictim := newIDs[oldVictim]
	aggressor, knownAggressor := newIDs[oldAggressor]
	key := keyOf(victim, aggressor)
	if !knownVictim || !knownAggressor || len(m.pairs) >= m.opts.MaxPairs || m.pairSlots.get(key) >= 0 {
		return
	}
	m.pairSlots.put(key, int32(len(m.pairs)))
	m.pairs = append(m.pairs, pair{key: key, extra: p.Extra, reports: p.Reports})
}
