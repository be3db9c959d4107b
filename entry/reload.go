package entry

import (
	"cmp"
	"os"
	"slices"
	"strings"

	"github.com/rs/zerolog"
)

// logLevelVariable is the setting that a reload puts in force.
const logLevelVariable = "BRONZEHOOK_LOG_LEVEL"

// defaultLogLevel is the default that Settings.LogLevel states.
const defaultLogLevel = "info"

// reloader compares the settings file with what it was at the start.
type reloader struct {
	path   string
	loaded map[string]string
	// ownLevel is set while the log level comes from the file or is the default, and not from a flag or the environment.
	ownLevel bool
	logger   zerolog.Logger
}

// newReloader remembers the settings file as it is, and whether it gave the log level in force. An unreadable one was
// reported when the settings were parsed.
func newReloader(level string, logger zerolog.Logger) *reloader {
	path := os.Getenv(SettingsFileVariable)
	loaded, err := readFile(path)
	if err != nil {
		loaded = make(map[string]string)
	}
	return &reloader{path: path, loaded: loaded, ownLevel: level == cmp.Or(loaded[logLevelVariable], defaultLogLevel), logger: logger}
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
	if r.putLevel(values[logLevelVariable]) {
		changed = slices.DeleteFunc(changed, func(name string) bool { return name == logLevelVariable })
	}
	// A reload is told at every level.
	r.logger.Log().Str(zerolog.LevelFieldName, zerolog.LevelInfoValue).Stringer("log_level", zerolog.GlobalLevel()).
		Str("from_next_start", strings.Join(changed, ",")).Msg("settings read again")
}

// putLevel puts a log level in force, unless a flag or the environment has set another, and reports whether it holds.
func (r *reloader) putLevel(text string) bool {
	level, err := zerolog.ParseLevel(cmp.Or(text, defaultLogLevel))
	if err != nil || !r.ownLevel {
		return false
	}
	zerolog.SetGlobalLevel(level)
	return true
}
