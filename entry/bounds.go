package entry

import (
	"net"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bronzehook/bodylimit"
	"bronzehook/carrier"
)

// connectionShares are the percentages of the accepted connections by listener. Peers are other instances, which keep up to
// eight idle connections each for relayed requests.
var connectionShares = map[string]int{"callers": 60, "peers": 25, "ready": 5, "metrics": 5}

// bounds holds what bounds request bodies, frames of other instances and connections.
type bounds struct {
	bodies      *bodylimit.Budget
	frames      *bodylimit.Budget
	connections int
	metrics     *bodylimit.Metrics
	logger      zerolog.Logger
}

func newBounds(s *Settings, registry prometheus.Registerer, logger zerolog.Logger) *bounds {
	m := bodylimit.NewMetrics(registry)
	memory := s.memoryBytes()
	frames := s.ApplyPace(bodylimit.FixedLimits(memory, carrier.MaxFrameBytes))
	return &bounds{
		bodies:      bodylimit.NewBudget("callers", s.Apply(bodylimit.EntryLimits(memory)), m, logger),
		frames:      bodylimit.NewBudget("frames", frames, m, logger),
		connections: s.Connections(memory), metrics: m, logger: logger,
	}
}

// limitBodies returns a handler that reads request bodies within the budget before it calls next. Nil bounds leave them as
// they are.
func (b *bounds) limitBodies(options func(*http.Request) bodylimit.Options, next http.Handler) http.Handler {
	if b == nil {
		return next
	}
	return b.bodies.Handler(options, next)
}

// listener bounds the connections of a listener.
func (b *bounds) listener(inner net.Listener, server *http.Server, name string) *bodylimit.Listener {
	return bodylimit.Limit(inner, server, name, bodylimit.Share(b.connections, connectionShares[name]), b.metrics, b.logger)
}

// memoryBytes returns the memory of the machine in bytes.
func (s *Settings) memoryBytes() int64 { return int64(s.MemoryLimit * (1 << 20)) }
