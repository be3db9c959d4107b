package config

import (
	"bytes"
	"fmt"
	"strings"
)

// Limits of a folder and its files.
const (
	// MaxFileBytes is the largest size of one file.
	MaxFileBytes = 64 << 10
	// MaxFiles is the largest number of files in a folder.
	MaxFiles = 4096
	// MaxFolderBytes is the largest total size of the files. The whole folder has to fit into one message between
	// instances, which is limited to 16 MiB.
	MaxFolderBytes = 8 << 20
	// MaxFileNameBytes is the longest name of a file.
	MaxFileNameBytes = 128
	// MaxNameBytes is the longest name of a workload, a team or a region.
	MaxNameBytes = 63
)

// Limits of values in the files.
const (
	maxReplicas             = 10_000
	maxMilliCPU             = 1024 * 1000
	maxMemoryMB             = 64 << 20
	maxAccelerators         = 64
	maxRequestsPerSecond    = 10_000_000
	maxCommandArguments     = 64
	maxCommandArgumentBytes = 4096
	maxRegions              = 64
	// maxDays is the largest run time or deadline in days.
	maxDays = 366
)

const nameCharacters = "lower-case letters, digits and inner hyphens"

// CheckFileName returns why a file name is refused, or an empty string if it is accepted.
func CheckFileName(name string) string {
	if len(name) > MaxFileNameBytes {
		return fmt.Sprintf("file name has %d bytes; at most %d are accepted", len(name), MaxFileNameBytes)
	}
	if !IsConfigFile(name) {
		return "file name must end in .yaml or .yml and not begin with a dot"
	}
	for _, r := range name {
		if !isLetterOrDigit(r) && !strings.ContainsRune("._-", r) {
			return fmt.Sprintf("file name contains %q; accepted are letters, digits, dot, hyphen and underscore", r)
		}
	}
	return ""
}

// IsConfigFile reports whether a file of this name is a configuration file. Other files of a folder are ignored.
func IsConfigFile(name string) bool {
	if strings.HasPrefix(name, ".") {
		return false
	}
	return strings.HasSuffix(name, ".yaml") || strings.HasSuffix(name, ".yml")
}

func isLetterOrDigit(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
}

// checkName returns why the name of a workload, a team or a region is refused, or an empty string if it is accepted.
// Names become parts of table keys and task identifiers, which use slashes and dots as separators.
func checkName(name string) string {
	if name == "" {
		return "name must not be empty"
	}
	if len(name) > MaxNameBytes {
		return fmt.Sprintf("name has %d bytes; at most %d are accepted", len(name), MaxNameBytes)
	}
	for i, r := range name {
		hyphen := r == '-' && i > 0 && i < len(name)-1
		lower := r >= 'a' && r <= 'z' || r >= '0' && r <= '9'
		if !hyphen && !lower {
			return fmt.Sprintf("name %q is not accepted; accepted are %s", name, nameCharacters)
		}
	}
	return ""
}

// maxBrackets is the largest number of opening brackets and braces in one file. The parse time of the YAML library is
// quadratic in their nesting depth: 14 s for 64 KiB of opening brackets.
const maxBrackets = 1024

// checkBrackets returns why a file is refused for its brackets, or an empty string if it may be parsed.
func checkBrackets(content []byte) string {
	count := bytes.Count(content, []byte("[")) + bytes.Count(content, []byte("{"))
	if count > maxBrackets {
		return fmt.Sprintf("file has %d opening brackets and braces; at most %d are accepted", count, maxBrackets)
	}
	return ""
}
