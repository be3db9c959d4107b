package manifest

import "sync/atomic"

// Provider publishes the current manifest, and never replaces it by an older version. It also keeps the newest version that
// another instance has applied: an instance that knows of a newer manifest than its own must not answer by its own.
type Provider struct {
	current atomic.Pointer[Manifest]
	// newest is the newest version that is known to exist; it has no meaning while it is below the current one.
	newest atomic.Uint64
	behind chan struct{}
}

// NewProvider returns a provider without a manifest.
func NewProvider() *Provider { return &Provider{behind: make(chan struct{}, 1)} }

// Current returns the current manifest, or nil before the first one.
func (p *Provider) Current() *Manifest { return p.current.Load() }

// Version returns the version of the current manifest, or 0 before the first one.
func (p *Provider) Version() uint64 {
	if m := p.current.Load(); m != nil {
		return m.Version
	}
	return 0
}

// Update makes a manifest the current one if it is newer, and reports whether it did.
func (p *Provider) Update(m *Manifest) bool {
	for {
		old := p.current.Load()
		if old != nil && old.Version >= m.Version {
			return false
		}
		if p.current.CompareAndSwap(old, m) {
			return true
		}
	}
}

// NoteVersion notes that another instance has applied a version of the manifest. If it is newer than the current one, it
// signals Behind.
func (p *Provider) NoteVersion(version uint64) {
	for {
		newest := p.newest.Load()
		if version <= newest || version <= p.Version() {
			return
		}
		if p.newest.CompareAndSwap(newest, version) {
			select {
			case p.behind <- struct{}{}:
			default:
			}
			return
		}
	}
}

// IsBehind reports whether a newer manifest than the current one is known to exist.
func (p *Provider) IsBehind() bool { return p.newest.Load() > p.Version() }

// Behind returns the channel that receives a value when a newer manifest than the current one becomes known to exist.
func (p *Provider) Behind() <-chan struct{} { return p.behind }

// Newest returns the newest version that is known to exist: the current one, or a newer one that another instance has named.
func (p *Provider) Newest() uint64 { return max(p.newest.Load(), p.Version()) }

// ConfirmCurrent notes that a read of the stored manifest, begun when the newest known version was the given one, has been
// applied. What an instance has named by then and the store does not have was an error.
func (p *Provider) ConfirmCurrent(newest uint64) { p.newest.CompareAndSwap(newest, 0) }
