package instance

import (
	"net"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bronzehook/bodylimit"
	"bronzehook/gateway"
)

// Percentages of the accepted connections by listener.
const (
	callerShare   = 70
	operatorShare = 10
)

// Bounds bounds the request bodies and the connections of the listeners of a process.
type Bounds struct {
	callers *bodylimit.Budget
	// Large holds the bodies of operators, and of the embedded platform of --dev.
	Large       *bodylimit.Budget
	Metrics     *bodylimit.Metrics
	connections int
	logger      zerolog.Logger
}

// BoundsConfig holds the settings of Bounds. Memory is in bytes, 0 if it is not known.
type BoundsConfig struct {
	Memory      int64
	MaxLarge    int64
	Connections int
	// Adjust and AdjustPace apply settings to derived limits.
	Adjust     func(bodylimit.Limits) bodylimit.Limits
	AdjustPace func(bodylimit.Limits) bodylimit.Limits
	Registry   prometheus.Registerer
	Logger     zerolog.Logger
}

// NewBounds returns the bounds of a process.
func NewBounds(c BoundsConfig) *Bounds {
	m := bodylimit.NewMetrics(c.Registry)
	limits := c.Adjust(bodylimit.StandaloneLimits(c.Memory, gateway.DefaultConfig().MaxTotalBodyBytes))
	large := c.AdjustPace(bodylimit.FixedLimits(c.Memory, c.MaxLarge))
	return &Bounds{
		callers: bodylimit.NewBudget("callers", limits, m, c.Logger), Large: bodylimit.NewBudget("operators", large, m, c.Logger),
		Metrics: m, connections: c.Connections, logger: c.Logger,
	}
}

func (b *Bounds) bodies() *bodylimit.Budget {
	if b == nil {
		return nil
	}
	return b.callers
}

func (b *Bounds) operatorBodies() *bodylimit.Budget {
	if b == nil {
		return nil
	}
	return b.Large
}

// listener returns a function that bounds the connections of a listener to a percentage of all, or nil without bounds.
func (b *Bounds) listener(name string, percent int) func(net.Listener, *http.Server) net.Listener {
	if b == nil {
		return nil
	}
	return func(inner net.Listener, server *http.Server) net.Listener {
		return bodylimit.Limit(inner, server, name, bodylimit.Share(b.connections, percent), b.Metrics, b.logger)
	}
}

// EmbeddedPlatform bounds the connections of each listener of the embedded platform of --dev.
func (b *Bounds) EmbeddedPlatform(inner net.Listener, server *http.Server) net.Listener {
	return bodylimit.Limit(inner, server, "embedded", bodylimit.Share(b.connections, operatorShare), b.Metrics, b.logger)
}
