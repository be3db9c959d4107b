package main

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bronzehook/backend/httpbackend"
	"bronzehook/instance"
	"bronzehook/operator"
	"bronzehook/settings"
)

// newBounds returns the bounds on request bodies and connections of the standalone instance.
func newBounds(s *settings.Settings, registry prometheus.Registerer, logger zerolog.Logger) *instance.Bounds {
	memory := int64(s.MemoryLimit) * bytesPerMegabyte
	maxLarge := int64(operator.MaxBodyBytes)
	if s.Dev {
		maxLarge = httpbackend.MaxObjectBytes
	}
	return instance.NewBounds(instance.BoundsConfig{
		Memory: memory, MaxLarge: maxLarge, Connections: s.Connections(memory), Adjust: s.Apply, AdjustPace: s.ApplyPace,
		Registry: registry, Logger: logger,
	})
}
