// Package config parses a folder of YAML configuration files, merges the files in the order of their names, validates
// the result and compares two results. It has no side effects: package rollout records and activates configurations.
package config
