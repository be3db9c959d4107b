// Package api holds the nouns of the system: urgencies, resources, work specifications, workers, endpoints, tasks and
// request outcomes. It holds no logic beyond ordering, validation and formatting, and imports no other package of this
// module.
package api
