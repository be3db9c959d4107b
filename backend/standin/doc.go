// Package standin holds small stand-ins of the platform for --dev and for tests: a table, an object store, a lagging
// directory, and workers that run services, jobs and watchers. Each can be told to fail in the ways that the design
// page names, by Go methods and over HTTP below /faults/. Workers keep a journal of all that they ran, which is what an
// independent checker reads.
//
// Durations in JSON are counted in nanoseconds, as in package platform.
package standin
