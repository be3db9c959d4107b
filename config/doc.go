// Package config reads the operators' folder of YAML files: it parses each file, merges the files in the order of their
// names, validates the result and compares two results. Parse is pure; nothing takes effect here.
package config
