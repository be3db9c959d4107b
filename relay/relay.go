// Package relay passes callers' requests on to another instance while this one can't serve them: the store may turn away or be
// cut off from single instances, and callers whose connections lead to those would be refused although others could serve
// them. A request is safe to pass on, because what a caller asks for names its job: handed in twice, it stays one job.
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
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bronzehook/logging"
	"bronzehook/response"
)

// HeaderRelayed names the instance that has passed a request on. Such a request is not passed on again.
const HeaderRelayed = "Bronzehook-Relayed"

// Bounds of passing on.
const (
	// maxTries is the number of instances that are asked for one request.
	maxTries    = 2
	dialTimeout = 250 * time.Millisecond
	tryTimeout  = 1200 * time.Millisecond
	idleTimeout = 5 * time.Second
	// reserve is kept back from a caller's deadline for the way of the answer.
	reserve = 200 * time.Millisecond
	// restTime is how long an instance is not asked that did not answer.
	restTime = 2 * time.Second
	// outageTime is how long nobody is asked after all that were asked have refused: then the store is away for all.
	outageTime = 300 * time.Millisecond
	// maxBody bounds a body that is kept to be sent again.
	maxBody = 1 << 20
)

// Peer is another instance and where it takes requests of instances.
type Peer struct{ Name, Addr string }

// Deadline reads and sets how long the caller of a request waits.
type Deadline interface {
	Left(r *http.Request) time.Duration
	SetLeft(r *http.Request, left time.Duration)
}

// Relay passes requests on. It is safe for concurrent use.
type Relay struct {
	self     string
	deadline Deadline
	client   *http.Client
	logger   zerolog.Logger
	results  *prometheus.CounterVec

	mu    sync.Mutex
	peers []Peer
	// good is the peer that served a request last, resting the ones that did not answer, with the end of their rest.
	good    string
	resting map[string]time.Time
	// outageUntil is until when nobody is asked.
	outageUntil time.Time
}

// New returns a relay of an instance that knows no peers.
func New(self string, deadline Deadline, logger zerolog.Logger, registry prometheus.Registerer) *Relay {
	r := &Relay{
		self: self, deadline: deadline, logger: logger, resting: make(map[string]time.Time),
		client: &http.Client{Timeout: tryTimeout, Transport: &http.Transport{
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

// SetPeers replaces the known peers.
func (r *Relay) SetPeers(peers []Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers = slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Name == r.self || p.Addr == "" })
}

// Handler returns a handler that serves requests by next, and passes on those that next refuses as unavailable or whose outcome
// it doesn't know.
func (r *Relay) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		begun := time.Now()
		if req.Header.Get(HeaderRelayed) != "" {
			next.ServeHTTP(w, req)
			return
		}
		body, whole := keepBody(req)
		if !whole {
			next.ServeHTTP(w, req)
			return
		}
		local := response.NewBuffer()
		next.ServeHTTP(local, req)
		if failed(local) {
			local = r.ask(req, body, local, begun)
		}
		local.WriteTo(w)
	})
}

// keepBody reads the body of a request, so that it can be sent again. It is not whole if it is longer than that allows.
func keepBody(req *http.Request) (body []byte, whole bool) {
	if req.Body == nil || req.ContentLength == 0 {
		return nil, true
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBody+1))
	if err != nil || len(body) > maxBody {
		req.Body = io.NopCloser(io.MultiReader(bytes.NewReader(body), req.Body))
		return nil, false
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	return body, true
}

// ask asks other instances and returns the answer that counts. Once the outcome is open, only an answer that settles it replaces it.
func (r *Relay) ask(req *http.Request, body []byte, local *response.Buffer, begun time.Time) *response.Buffer {
	asked := 0
	for _, peer := range r.choose() {
		left := r.deadline.Left(req) - time.Since(begun) - reserve
		if left <= 0 {
			break
		}
		got, err := r.send(req, body, peer, left)
		asked++
		r.note(req, peer, local, got, err, begun)
		switch {
		case err != nil && !neverSent(err):
			local.Status = http.StatusGatewayTimeout
			local.Header().Del(headerRetryAfter)
		case err != nil:
		case !failed(got):
			return got
		case got.Status == http.StatusGatewayTimeout:
			local = got
		}
	}
	if asked > 0 {
		r.noteOutage()
	}
	return local
}

const headerRetryAfter = "Retry-After"

// choose returns the peers to ask, the best first.
func (r *Relay) choose() []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Before(r.outageUntil) {
		return nil
	}
	var able []Peer
	for _, p := range r.peers {
		if now.After(r.resting[p.Name]) {
			able = append(able, p)
		}
	}
	rand.Shuffle(len(able), func(i, j int) { able[i], able[j] = able[j], able[i] })
	if i := slices.IndexFunc(able, func(p Peer) bool { return p.Name == r.good }); i > 0 {
		able[0], able[i] = able[i], able[0]
	}
	return able[:min(maxTries, len(able))]
}

func (r *Relay) send(req *http.Request, body []byte, peer Peer, left time.Duration) (*response.Buffer, error) {
	ctx, cancel := context.WithTimeout(req.Context(), min(left, tryTimeout))
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+peer.Addr+req.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "making a request")
	}
	out.Host = req.Host
	out.Header = req.Header.Clone()
	out.Header.Del("Connection")
	out.Header.Set(HeaderRelayed, r.self)
	r.deadline.SetLeft(out, left)
	reply, err := r.client.Do(out)
	if err != nil {
		return nil, errors.Wrap(err, "asking a peer")
	}
	defer reply.Body.Close()
	got := response.NewBuffer()
	got.Status = reply.StatusCode
	maps.Copy(got.Header(), reply.Header)
	got.Header().Del("Connection")
	if _, err = got.Body.ReadFrom(io.LimitReader(reply.Body, maxBody)); err != nil {
		return nil, errors.Wrap(err, "reading a peer's answer")
	}
	return got, nil
}

// neverSent reports whether a request certainly did not reach a peer.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (r *Relay) note(req *http.Request, peer Peer, local, got *response.Buffer, err error, begun time.Time) {
	result, status := "served", 0
	switch {
	case err != nil:
		result = "no-answer"
	case failed(got):
		result, status = "refused", got.Status
	default:
		status = got.Status
	}
	r.results.WithLabelValues(result).Inc()
	r.logger.Info().Str(logging.KeyRequest, path.Base(req.URL.Path)).Str("method", req.Method).Str("peer", peer.Name).
		Int("own_status", local.Status).Int("status", status).Str("result", result).AnErr("error", err).
		Dur("took", time.Since(begun)).Msg("request relayed")
	r.mu.Lock()
	defer r.mu.Unlock()
	switch result {
	case "served":
		r.good, r.outageUntil = peer.Name, time.Time{}
	case "no-answer":
		r.resting[peer.Name] = time.Now().Add(restTime)
	}
	if result != "served" && r.good == peer.Name {
		r.good = ""
	}
}

// noteOutage notes that nobody who was asked could serve a request.
func (r *Relay) noteOutage() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outageUntil = time.Now().Add(outageTime)
}

// failed reports whether another instance may do better: the request had no effect, or whether it had is not known.
func failed(answer *response.Buffer) bool {
	return answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusGatewayTimeout
}
