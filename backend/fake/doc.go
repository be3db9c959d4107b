// Package fake provides in-memory fakes of the platform for --dev and for tests: a table, an object store, an
// eventually consistent directory, and workers that run services, jobs and watchers. The faults named in the design
// documentation can be injected into each of them through Go methods and over HTTP under /faults/. Workers keep an
// event log of everything they executed, which an independent checker reads.
//
// Durations in JSON are in nanoseconds, as in package platform.
package fake
