// Package relay forwards callers' requests to another scheduler instance while this one can't serve them. The store may
// reject or be unreachable for single instances, and callers connected to those would be refused although other
// instances could serve them. Relaying a request is safe because the request names its job: submitted twice, it creates
// one job only.
//
// Instances that the store rejects do not learn of a new configuration. Relayed requests and the answers to them therefore
// name the version that their sender applies: no instance answers for one with a newer configuration, and one that knows
// of a newer configuration than its own does not answer by its own.
package relay

import (
	"bytes"
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"path"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bronzehook/bodylimit"
	"bronzehook/logging"
	"bronzehook/response"
)

// Headers of relayed requests and of the answers to them.
const (
	// HeaderRelayed holds the name of the instance that relayed a request. A relayed request is not relayed again.
	HeaderRelayed = "Bronzehook-Relayed"
	// HeaderVersion holds the newest version of the configuration that the sender of a request knows of, or the version that
	// the sender of a response applies. Older builds do not send it.
	HeaderVersion = "Bronzehook-Configuration-Version"
)

// Limits of relaying.
const (
	// maxPeersTried is the maximum number of instances to which one request is relayed.
	maxPeersTried = 2
	dialTimeout   = 250 * time.Millisecond
	peerTimeout   = 1200 * time.Millisecond
	idleTimeout   = 5 * time.Second
	// latencyAllowance is subtracted from a caller's remaining time, for the network latency of the response.
	latencyAllowance = 200 * time.Millisecond
	// peerCooldown is how long no request is relayed to an instance that did not respond.
	peerCooldown = 2 * time.Second
	// outageBackoff is how long nothing is relayed after none of the instances tried could serve a request: the store is
	// then taken to be unavailable to all instances.
	outageBackoff = 300 * time.Millisecond
	// maxBodyBytes bounds request bodies that are buffered for relaying, and the bodies of responses to them.
	maxBodyBytes = 1 << 20
)

// Peer is another instance and the address at which it accepts relayed requests.
type Peer struct{ Name, Addr string }

// Deadline reads and sets the remaining time until the deadline of a request.
type Deadline interface {
	Remaining(r *http.Request) time.Duration
	SetRemaining(r *http.Request, left time.Duration)
}

// Configuration tells by which version of the configuration this instance answers requests.
type Configuration interface {
	// Version returns the version that this instance applies, or 0 if it has none yet.
	Version() uint64
	// NoteVersion notes that another instance applies a version.
	NoteVersion(version uint64)
	// Newest returns the newest version that is known to exist.
	Newest() uint64
	// IsBehind reports whether a newer version is known to exist than the one that this instance applies.
	IsBehind() bool
}

// Relay forwards requests to other instances. It is safe for concurrent use.
type Relay struct {
	self          string
	deadline      Deadline
	configuration Configuration
	client        *http.Client
	logger        zerolog.Logger
	results       *prometheus.CounterVec

	mu    sync.Mutex
	peers []Peer
	// lastGood is the last peer that served a relayed request, empty if it has since failed to serve one. cooldownUntil
	// holds the end of the cool-down of each peer that did not respond.
	lastGood      string
	cooldownUntil map[string]time.Time
	// outageUntil is the time until which nothing is relayed.
	outageUntil time.Time
}

// New returns the relay of the instance named self, without peers.
func New(
	self string, deadline Deadline, configuration Configuration, logger zerolog.Logger, registry prometheus.Registerer,
) *Relay {
	r := &Relay{
		self: self, deadline: deadline, configuration: configuration, logger: logger, cooldownUntil: make(map[string]time.Time),
		client: &http.Client{Timeout: peerTimeout, Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: 8, IdleConnTimeout: idleTimeout, DisableCompression: true,
		}},
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzehook_relayed_requests_total", Help: "Requests passed on to another instance by result.",
		}, []string{"result"}),
	}
	registry.MustRegister(r.results)
	return r
}

// SetPeers replaces the list of peers. It omits this instance and peers without an address.
func (r *Relay) SetPeers(peers []Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers = slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Name == r.self || p.Addr == "" })
}

// Handler returns a handler that serves callers' requests with next, and relays those for which next responds that the
// service is unavailable (503) or the outcome is unknown (504). While this instance is behind the configuration of others,
// it relays all requests.
func (r *Relay) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		startedAt := time.Now()
		serve := next
		if r.configuration.IsBehind() {
			serve = http.HandlerFunc(r.refuseAsOutdated)
		}
		if req.Header.Get(HeaderRelayed) != "" {
			serve.ServeHTTP(w, req)
			return
		}
		body, complete := bufferBody(req)
		if !complete {
			serve.ServeHTTP(w, req)
			return
		}
		local := response.NewBuffer()
		serve.ServeHTTP(local, req)
		if retryableElsewhere(local) {
			local = r.tryPeers(req, body, local, startedAt)
		}
		local.WriteTo(w)
	})
}

// PeerHandler returns a handler that serves requests relayed by other instances with next. It refuses those of instances
// with a newer configuration.
func (r *Relay) PeerHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		own, theirs := r.configuration.Version(), versionOf(req.Header)
		w.Header().Set(HeaderVersion, strconv.FormatUint(own, 10))
		r.configuration.NoteVersion(theirs)
		if theirs > own {
			r.refuseAsOutdated(w, req)
			return
		}
		next.ServeHTTP(w, req)
	})
}

// refuseAsOutdated refuses a request because this instance does not apply the newest configuration.
func (r *Relay) refuseAsOutdated(w http.ResponseWriter, req *http.Request) {
	r.logger.Info().Str(logging.KeyRequest, path.Base(req.URL.Path)).Str("method", req.Method).
		Str("relayed_by", req.Header.Get(HeaderRelayed)).Uint64(logging.KeyRevision, r.configuration.Version()).
		Uint64("sender_revision", versionOf(req.Header)).Msg("request not served, configuration is outdated")
	response.SetRetryAfter(w.Header(), response.DefaultRetryAfter)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// versionOf returns the version of the configuration that the sender of a request or response applies, or 0 if it does not
// name one.
func versionOf(header http.Header) uint64 {
	version, err := strconv.ParseUint(header.Get(HeaderVersion), 10, 64)
	if err != nil {
		return 0
	}
	return version
}

// bufferBody reads the body of a request into memory, so that it can be sent again; one that is complete in memory is used as
// it is. It reports complete as false if the body is longer than maxBodyBytes or can't be read; the request can then still be
// served by this instance.
func bufferBody(req *http.Request) (body []byte, complete bool) {
	if req.Body == nil || req.ContentLength == 0 {
		return nil, true
	}
	if complete, ok := req.Body.(*bodylimit.Body); ok {
		return complete.Bytes(), len(complete.Bytes()) <= maxBodyBytes
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		req.Body = io.NopCloser(io.MultiReader(bytes.NewReader(body), req.Body))
		return nil, false
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	return body, true
}

// tryPeers relays a request to other instances and returns the response for the caller. Once the outcome is unknown
// (504), a refusal no longer replaces it, because it would claim that the request had no effect.
func (r *Relay) tryPeers(req *http.Request, body []byte, local *response.Buffer, startedAt time.Time) *response.Buffer {
	tried := 0
	for _, peer := range r.candidates() {
		left := r.deadline.Remaining(req) - time.Since(startedAt) - latencyAllowance
		if left <= 0 {
			break
		}
		got, err := r.send(req, body, peer, left)
		tried++
		result := r.resultOf(req.Method, local, got, err)
		r.recordResult(req, peer, local, got, err, result, startedAt)
		switch {
		case result == resultServed:
			return got
		case err != nil && !neverSent(err):
			local.Status = http.StatusGatewayTimeout
			local.Header().Del(response.HeaderRetryAfter)
		case err == nil && got.Status == http.StatusGatewayTimeout:
			local = got
		}
	}
	if tried > 0 {
		r.startOutageBackoff()
	}
	return local
}

// Results of relaying a request to a peer, as the label of a metric and in logs.
const (
	resultServed   = "served"
	resultNoAnswer = "no-answer"
	// resultRefused means that the peer could not serve the request either.
	resultRefused = "refused"
	// resultOutdated means that the peer refused the request by an older configuration than the newest known one.
	resultOutdated = "outdated"
	// resultInconclusive means that the peer refused a request that this instance or another peer may have carried out.
	resultInconclusive = "inconclusive"
)

// resultOf returns the result of a relayed request. The response stands only if it is resultServed.
func (r *Relay) resultOf(method string, local, got *response.Buffer, err error) string {
	if err != nil {
		return resultNoAnswer
	}
	version := versionOf(got.Header())
	got.Header().Del(HeaderVersion)
	r.configuration.NoteVersion(version)
	outcomeUnknown := local.Status == http.StatusGatewayTimeout && method != http.MethodGet
	switch {
	case retryableElsewhere(got):
		return resultRefused
	case got.Status < http.StatusBadRequest:
		return resultServed
	case version < r.configuration.Newest():
		return resultOutdated
	case outcomeUnknown && got.Status != http.StatusGone:
		return resultInconclusive
	}
	return resultServed
}

// candidates returns the peers to try in this order: the last one that served a request, then others at random.
func (r *Relay) candidates() []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Before(r.outageUntil) {
		return nil
	}
	var available []Peer
	for _, p := range r.peers {
		if now.After(r.cooldownUntil[p.Name]) {
			available = append(available, p)
		}
	}
	rand.Shuffle(len(available), func(i, j int) { available[i], available[j] = available[j], available[i] })
	if i := slices.IndexFunc(available, func(p Peer) bool { return p.Name == r.lastGood }); i > 0 {
		available[0], available[i] = available[i], available[0]
	}
	return available[:min(maxPeersTried, len(available))]
}

// send relays a request to one peer.
func (r *Relay) send(req *http.Request, body []byte, peer Peer, left time.Duration) (*response.Buffer, error) {
	ctx, cancel := context.WithTimeout(req.Context(), min(left, peerTimeout))
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+peer.Addr+req.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create relayed request")
	}
	out.Host = req.Host
	out.Header = req.Header.Clone()
	out.Header.Del("Connection")
	out.Header.Set(HeaderRelayed, r.self)
	out.Header.Set(HeaderVersion, strconv.FormatUint(r.configuration.Newest(), 10))
	r.deadline.SetRemaining(out, left)
	resp, err := r.client.Do(out)
	if err != nil {
		return nil, errors.Wrap(err, "send relayed request")
	}
	defer resp.Body.Close()
	got := response.NewBuffer()
	got.Status = resp.StatusCode
	maps.Copy(got.Header(), resp.Header)
	got.Header().Del("Connection")
	if _, err = got.Body.ReadFrom(io.LimitReader(resp.Body, maxBodyBytes)); err != nil {
		return nil, errors.Wrap(err, "read response to relayed request")
	}
	return got, nil
}

// neverSent reports whether a request provably did not reach the peer.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// recordResult counts and logs a relayed request and updates the state of the peer.
func (r *Relay) recordResult(
	req *http.Request, peer Peer, local, got *response.Buffer, err error, result string, startedAt time.Time,
) {
	status := 0
	if err == nil {
		status = got.Status
	}
	r.results.WithLabelValues(result).Inc()
	r.logger.Info().Str(logging.KeyRequest, path.Base(req.URL.Path)).Str("method", req.Method).Str("peer", peer.Name).
		Int("own_status", local.Status).Int("status", status).Str("result", result).AnErr("error", err).
		Dur("took", time.Since(startedAt)).Msg("request relayed")
	r.mu.Lock()
	defer r.mu.Unlock()
	switch result {
	case resultServed:
		r.lastGood, r.outageUntil = peer.Name, time.Time{}
	case resultNoAnswer:
		r.cooldownUntil[peer.Name] = time.Now().Add(peerCooldown)
	}
	if result != resultServed && r.lastGood == peer.Name {
		r.lastGood = ""
	}
}

// startOutageBackoff suspends relaying after none of the peers tried could serve a request.
func (r *Relay) startOutageBackoff() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outageUntil = time.Now().Add(outageBackoff)
}

// retryableElsewhere reports whether another instance might serve the request, because it had no effect (503) or
// its outcome is unknown (504).
func retryableElsewhere(resp *response.Buffer) bool {
	return resp.Status == http.StatusServiceUnavailable || resp.Status == http.StatusGatewayTimeout
}
