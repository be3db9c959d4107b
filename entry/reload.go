package entry

import (
	"cmp"
	"os"
	"slices"
	"strings"

	"github.com/rs/zerolog"
)

// logLevelVariable is the only setting that takes effect on a reload.
const logLevelVariable = "BRONZEHOOK_LOG_LEVEL"

// defaultLogLevel has to be equal to the default of Settings.LogLevel.
const defaultLogLevel = "info"

// reloader compares the settings file with its content at the start of the process.
type reloader struct {
	path   string
	loaded map[string]string
	// levelReloadable is set if the log level comes from the file or is the default, not from a flag or the environment.
	levelReloadable bool
	logger          zerolog.Logger
}

// newReloader keeps the present content of the settings file, and whether the current log level comes from it. A read failure is
// ignored, since it was reported when the settings were parsed.
func newReloader(level string, logger zerolog.Logger) *reloader {
	path := os.Getenv(SettingsFileVariable)
	loaded, err := readSettingsFile(path)
	if err != nil {
		loaded = make(map[string]string)
	}
	return &reloader{path: path, loaded: loaded, levelReloadable: level == cmp.Or(loaded[logLevelVariable], defaultLogLevel), logger: logger}
}

// reload applies a changed log level and logs the names of other changed settings, which take effect at the next start.
func (r *reloader) reload() {
	values, err := readSettingsFile(r.path)
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
	if r.setLevel(values[logLevelVariable]) {
		changed = slices.DeleteFunc(changed, func(name string) bool { return name == logLevelVariable })
	}
	// Logged without a level filter, so that the line appears at every log level.
	r.logger.Log().Str(zerolog.LevelFieldName, zerolog.LevelInfoValue).Stringer("log_level", zerolog.GlobalLevel()).
		Str("from_next_start", strings.Join(changed, ",")).Msg("settings read again")
}

// setLevel applies a log level unless it is invalid or the level was set by a flag or the environment. It reports whether the
// level was applied.
func (r *reloader) setLevel(text string) bool {
	level, err := zerolog.ParseLevel(cmp.Or(text, defaultLogLevel))
	if err != nil || !r.levelReloadable {
		return false
	}
	zerolog.SetGlobalLevel(level)
	return true
}
