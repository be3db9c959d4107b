package entry

import (
	"os"
	"slices"
	"strings"

	"github.com/rs/zerolog"
)

// logLevelVariable is the setting that a reload puts in force.
const logLevelVariable = "BRONZEHOOK_LOG_LEVEL"

// reloader compares the settings file with what it was at the start.
type reloader struct {
	path   string
	loaded map[string]string
	logger zerolog.Logger
}

// newReloader remembers the settings file as it is. An unreadable one was reported when the settings were parsed.
func newReloader(logger zerolog.Logger) *reloader {
	path := os.Getenv(SettingsFileVariable)
	loaded, err := readFile(path)
	if err != nil {
		loaded = make(map[string]string)
	}
	return &reloader{path: path, loaded: loaded, logger: logger}
}

// reload puts a changed log level in force and names the other settings that have changed: they hold from the next start.
func (r *reloader) reload() {
	values, err := readFile(r.path)
	if err != nil {
		r.logger.Error().AnErr("error", err).Msg("settings not reloaded")
		return
	}
	var changed []string
	for name, value := range values {
		if r.loaded[name] != value {
			changed = append(changed, name)
		}
	}
	for name := range r.loaded {
		if _, still := values[name]; !still {
			changed = append(changed, name)
		}
	}
	slices.Sort(changed)
	if level, err := zerolog.ParseLevel(values[logLevelVariable]); err == nil && values[logLevelVariable] != "" {
		zerolog.SetGlobalLevel(level)
	}
	r.logger.Info().Int("changed", len(changed)).Str("from_next_start", strings.Join(changed, ",")).Msg("settings read again")
}
