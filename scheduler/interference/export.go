package interference

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"bronzehook/fault"
)

// exportVersion is raised when the exported form changes; other versions are refused, which costs accuracy only.
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
	Extra   [Levels]float32
	Reports [Levels]uint32
}

type exportedPair struct {
	_       struct{} `cbor:",toarray"`
	Key     uint64
	Extra   [Levels]float32
	Reports [Levels]uint32
}

// Export returns the model as CBOR.
func (m *Model) Export() ([]byte, error) {
	out := exported{Version: exportVersion}
	for _, w := range m.works {
		out.Works = append(out.Works, exportedWork{Name: w.name, ID: w.id, Extra: w.extra, Reports: w.reports})
	}
	for _, p := range m.pairs {
		out.Pairs = append(out.Pairs, exportedPair{Key: p.key, Extra: p.extra, Reports: p.reports})
	}
	data, err := cbor.Marshal(out)
	return data, errors.Wrap(err, "interference export")
}

// Import returns a model with the given options and the exported content, cut to the options' bounds. Pairs that name a
// workload beyond the bounds are left out.
func Import(data []byte, opts Options) (*Model, error) {
	var in exported
	if err := cbor.Unmarshal(data, &in); err != nil {
		return nil, errors.Wrap(fault.New(fault.CodeInvalid, "interference import", "%v", err), "interference")
	}
	if in.Version != exportVersion {
		return nil, fault.New(fault.CodeInvalid, "interference import", "version %d, want %d", in.Version, exportVersion)
	}
	m := New(opts)
	renamed := make(map[int32]int32, len(in.Works))
	for _, w := range in.Works[:min(len(in.Works), opts.MaxWorks)] {
		id := int32(len(m.works))
		renamed[w.ID] = id
		m.ids[w.Name] = id
		m.works = append(m.works, work{name: w.Name, id: id, extra: w.Extra, reports: w.Reports})
	}
	for _, p := range in.Pairs {
		m.importPair(p, renamed)
	}
	return m, nil
}

func (m *Model) importPair(p exportedPair, renamed map[int32]int32) {
	oldVictim, oldAggressor := splitKey(p.Key)
	victim, knownVictim := renamed[oldVictim]
	aggressor, knownAggressor := renamed[oldAggressor]
	key := keyOf(victim, aggressor)
	if !knownVictim || !knownAggressor || len(m.pairs) >= m.opts.MaxPairs || m.index.get(key) >= 0 {
		return
	}
	m.index.put(key, int32(len(m.pairs)))
	m.pairs = append(m.pairs, pair{key: key, extra: p.Extra, reports: p.Reports})
}
