// Package capacity holds the benchmarks that measure what an instance costs in traffic, table calls, processor time and
// memory at several sizes. docs/CAPACITY.md states their results and works out the design size from them.
package capacity
