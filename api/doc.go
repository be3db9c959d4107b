// Package api defines the domain types of the system: urgencies, resources, workload specifications, workers, endpoints,
// tasks and request outcomes. Its only logic is ordering, validation and formatting, and it imports no other package of
// this module.
package api
